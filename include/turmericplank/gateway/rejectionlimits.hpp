#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "turmericplank/gateway/peerstatus.hpp"
#include "turmericplank/gateway/sitestate.hpp"
#include "turmericplank/routing/rejectiontolerances.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::gateway {

/// @brief Makes the router limit the rejections of endpoints while their services state that they fail if they reject too many calls.
class RejectionLimits
{
public:
    /// @param self this daemon
    /// @param siteState knows the services of the endpoints
    /// @param router applies the limits
    /// @param otherDaemons the daemons that may send calls, without this one
    RejectionLimits(base::DaemonId self, const SiteState &siteState, routing::Router &router, std::function<std::vector<base::DaemonId>()> otherDaemons);

    /// @brief Applies an endpoint's answer.
    /// @param endpoint the endpoint
    /// @param rejectionsPerSecond that it survives, as stated in the answer; nothing if it states none
    /// @param now current time
    void noteAnswer(const base::EndpointId &endpoint, std::optional<std::uint32_t> rejectionsPerSecond, base::Time now);

    /// @brief Adds what this daemon has heard in answers to its status.
    void fillStatus(PeerStatus &status, base::Time now) const;

    /// @brief Applies another daemon's status.
    void notePeerStatus(const PeerStatus &status, base::Time now);

    /// @brief Ends limits that are no longer stated, and applies changes of the daemons; to be called about once a second, and when a daemon falls silent.
    void update(base::Time now);

private:
    void logChanges(const std::map<base::ServiceName, std::uint32_t> &limits) const;

    base::DaemonId m_self;
    const SiteState &m_siteState;
    routing::Router &m_router;
    std::function<std::vector<base::DaemonId>()> m_otherDaemons;
    routing::RejectionTolerances m_tolerances;
    std::map<base::ServiceName, std::uint32_t> m_limits; ///< that the router applies
};

} // namespace turmericplank::gateway
