#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "turmericplank/base/time.hpp"

namespace turmericplank::forwarding {

/// @brief Number of different priorities of a service's routes from which on its calls are ordered by them.
constexpr std::size_t MinOrderedPriorities = 3;

/// @brief Place of a priority among those that are in use.
struct CallPlace
{
    std::size_t level = 0; ///< zero is the most urgent
    std::size_t levels = 1; ///< number of priorities

    friend auto operator<=>(const CallPlace &, const CallPlace &) = default;
    friend bool operator==(const CallPlace &, const CallPlace &) = default;
};

/// @brief Load of the endpoint that was chosen for a call.
struct EndpointLoad
{
    double streams = 0; ///< estimated, running and waiting
    std::uint32_t concurrency = 1; ///< calls that the endpoint runs at once
    base::Duration expectedFirst{0}; ///< until the first event of the call

    friend bool operator==(const EndpointLoad &, const EndpointLoad &) = default;
};

/// @brief Place of a priority.
/// @param priorities in use, in ascending order
/// @return the only place if none are in use
CallPlace placeOf(const std::vector<std::uint32_t> &priorities, std::uint32_t priority);

/// @brief Place of a call among the calls of its service.
/// @param priorities of the service's routes, in ascending order
/// @return nothing if the service has too few priorities for an order
std::optional<CallPlace> callPlace(const std::vector<std::uint32_t> &priorities, std::uint32_t priority);

/// @brief Whether a call should not be sent to an endpoint now.
///
/// Load that it answers: for some seconds more calls come than the engines that hold a model can run. Calls that were sent as long as their
/// callers would wait at all filled the engines' queues, so that all calls were late, and those of the least urgent kind, which may wait
/// longest, took the places. A call is sent if a place is free, or if the queue lets it begin well within its objective and leaves places for
/// more urgent calls: of as many waiting calls as the endpoint runs at once, the least urgent of three kinds may be in a third.
/// @param place of the call
/// @param load of the endpoint
/// @param objective time within which the call should begin to be answered
bool mustNotQueue(const CallPlace &place, const EndpointLoad &load, base::Duration objective);

/// @brief Urgency of a call at an engine: by the priority of its account, then by that of its route, then by whether it tolerates delay.
/// @param account place of the account's priority among those of all accounts
/// @param place of the call
/// @param isDeferrable whether the call tolerates delay; left out if accounts have several priorities, for which there are too few urgencies
/// @return 0 is admitted first, 9 last
std::uint32_t urgency(const CallPlace &account, const CallPlace &place, bool isDeferrable);

} // namespace turmericplank::forwarding
