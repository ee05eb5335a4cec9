#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/routing/loadreport.hpp"

namespace turmericplank::routing {

/// @brief Slots of an endpoint whose rejections are limited.
struct LimitedEndpoint
{
    base::EndpointId id;
    std::uint32_t slots = 1; ///< calls that it runs at the same time

    friend auto operator<=>(const LimitedEndpoint &, const LimitedEndpoint &) = default;
    friend bool operator==(const LimitedEndpoint &, const LimitedEndpoint &) = default;
};

/// @brief Work of each daemon that is heard on one endpoint.
using PeerWork = std::map<base::DaemonId, EndpointWork>;

/// @brief Intervals of a rejection allowance.
struct RejectionAllowanceOptions
{
    base::Duration window = std::chrono::seconds(1); ///< in which an endpoint counts its rejections
    base::Duration raiseInterval = std::chrono::seconds(1); ///< before a share grows, so that daemons which hear of a change later have given theirs up
    base::Duration idleTime = std::chrono::seconds(2); ///< without calls in its status messages, after which a daemon leaves its slots to others
    base::Duration borrowInterval = std::chrono::milliseconds(500); ///< covers one round of status messages
    base::Duration startTime = std::chrono::seconds(2); ///< until a daemon that starts and its peers know each other; its shares are at most one slot
    std::uint32_t maxBackoff = 8; ///< factor of the raise interval after several rejections
};

/// @brief Keeps the rejections of endpoints below a limit per second that holds for the calls of all daemons together.
///
/// The slots of each endpoint are dealt to the daemons in turn. A share shrinks at once. It grows so slowly that, if every call in
/// an added slot were rejected, all daemons together would stay within the limit: daemons that do not hear each other may both
/// take the same slots. A daemon that has had no calls for some time leaves its slots, but for one, to the others; in each round of
/// status messages, each of these takes only its part of what is free. Time is passed in.
class RejectionAllowance
{
public:
    explicit RejectionAllowance(RejectionAllowanceOptions options = {});

    /// @brief Sets this daemon and the other daemons that may send calls, whether they are heard or not.
    void setDaemons(const base::DaemonId &self, const std::vector<base::DaemonId> &others, base::Time now);

    /// @brief Sets the endpoints of one service. Slots are dealt in the order of the endpoints' ids, across endpoints.
    /// @param service name of the service
    /// @param endpoints all endpoints of the service
    /// @param rejectionsPerSecond tolerated by each of them
    void setEndpoints(const base::ServiceName &service, std::vector<LimitedEndpoint> endpoints, std::uint32_t rejectionsPerSecond);

    /// @brief Ends the limit of a service.
    void removeService(const base::ServiceName &service);

    /// @brief Whether an endpoint belongs to a service with a limit.
    bool isLimited(const base::EndpointId &endpoint) const;

    /// @brief Whether this daemon may send one more call to an endpoint. Always true for endpoints without a limit.
    /// @param endpoint the endpoint
    /// @param own calls of this daemon that have not ended, and those of them that the endpoint has not accepted yet
    /// @param peers work of the other daemons
    /// @param isRetry whether the call has been sent before; it then needs more room, so that one rejection does not cause others
    /// @param now current time
    bool maySend(const base::EndpointId &endpoint, const EndpointWork &own, const PeerWork &peers, bool isRetry, base::Time now);

    /// @brief Records that an endpoint has rejected a call for lack of room.
    /// @param endpoint the endpoint
    /// @param ownLeft calls of this daemon that are still on the endpoint
    /// @param now current time
    void noteRejected(const base::EndpointId &endpoint, std::uint32_t ownLeft, base::Time now);

private:
    struct Endpoint
    {
        base::ServiceName service;
        std::uint32_t slots = 1;
        std::uint32_t rejectionsPerSecond = 0;
        double phase = 0; ///< part of an interval by which its shares grow later than those of the first endpoint
        std::size_t firstDaemon = 0; ///< index of the daemon that gets its first slot
        std::uint32_t share = 0; ///< of the slots
        bool isShareDealt = false; ///< the share has had its full size before, and grows slowly from now on
        base::Time raiseAt; ///< when the share may grow; the epoch if it needs not
        std::uint32_t backoff = 1; ///< factor of the raise interval
        std::uint32_t borrowLimit = 0; ///< of this daemon's calls, while other daemons use slots of its share or it uses theirs
        base::Time borrowLimitUntil; ///< when the limit is computed again
        std::map<base::DaemonId, base::Time> busyAt; ///< when other daemons last had calls on it
        std::deque<base::Time> rejections; ///< of this daemon's calls, within the window
    };

    /// Use of an endpoint by all daemons.
    struct Use
    {
        std::uint32_t total = 0; ///< calls
        std::uint32_t reserved = 0; ///< free slots that are kept for daemons that use less than their shares
        std::uint32_t unused = 0; ///< slots that idle daemons leave to others
        std::uint32_t active = 1; ///< daemons that are not idle, this one included
        bool isShareBorrowed = false; ///< whether another daemon uses more than its share
    };

    std::uint32_t dealt(std::uint32_t amount, std::size_t firstDaemon, std::size_t daemon) const;
    Use useOf(Endpoint &endpoint, std::uint32_t own, const PeerWork &peers, base::Time now) const;
    base::Duration raiseInterval(const Endpoint &endpoint) const;
    void updateShare(Endpoint &endpoint, base::Time now) const;
    void updateBorrowLimit(Endpoint &endpoint, std::uint32_t own, const Use &use, base::Time now) const;

    RejectionAllowanceOptions m_options;
    std::optional<base::Time> m_knownFrom; ///< when the daemons know each other
    std::vector<base::DaemonId> m_daemons; ///< in the order of the ids
    std::size_t m_self = 0; ///< index of this daemon
    std::size_t m_maxDaemons = 1; ///< since there are limits; a daemon that is not heard any more may still send calls
    double m_phase = 0; ///< part of an interval by which this daemon's shares grow later than those of the first daemon
    std::map<base::EndpointId, Endpoint> m_endpoints;
};

} // namespace turmericplank::routing
