#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "turmericplank/requests/endpointchoice.hpp"

namespace turmericplank::requests {

/// @brief Chooses the instance of a plain service: the one with the fewest calls that has not failed recently.
class ServiceBalancer
{
public:
    /// @brief Chooses an instance of a service.
    /// @param instances available instances
    /// @param query query whose `avoid` list is excluded
    /// @param now current time
    /// @return the instance; nothing if all are excluded
    std::optional<EndpointChoice> choose(const std::vector<EndpointChoice> &instances, const ChoiceQuery &query, base::Time now);
    /// @brief Records that a call was sent.
    void sent(const base::EndpointId &instance);
    /// @brief Records the end of a call.
    void ended(const base::EndpointId &instance, AttemptResult result, base::Time now);
    /// @brief Records that the caller cancelled a call.
    void cancelled(const base::EndpointId &instance);

private:
    struct InstanceState
    {
        std::uint32_t running = 0;
        base::Time penalizedUntil; ///< after a failure, until then chosen only if no other instance is available
        std::uint64_t lastChosen = 0; ///< number of the choice; breaks ties
    };

    std::unordered_map<base::EndpointId, InstanceState> m_instances;
    std::uint64_t m_choiceCount = 0;
};

} // namespace turmericplank::requests
