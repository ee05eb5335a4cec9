#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "turmericplank/gateway/peerstatus.hpp"
#include "turmericplank/gateway/sitestate.hpp"
#include "turmericplank/routing/rateallowance.hpp"

namespace turmericplank::gateway {

/// @brief Makes the router keep to the calls per second that endpoints say they take from all daemons together.
class RateLimits
{
public:
    /// @param self this daemon
    /// @param siteState knows the endpoints
    /// @param allowance of the router
    /// @param otherDaemons the daemons that may send calls, without this one
    RateLimits(base::DaemonId self, const SiteState &siteState, routing::RateAllowance &allowance, std::function<std::vector<base::DaemonId>()> otherDaemons);

    /// @brief Applies an endpoint's answer.
    /// @param endpoint the endpoint
    /// @param callsPerSecond that it takes from all daemons together, as stated in the answer; nothing if it states none
    /// @param now current time
    void noteAnswer(const base::EndpointId &endpoint, std::optional<double> callsPerSecond, base::Time now);

    /// @brief Adds limits and this daemon's demand to its status.
    void fillStatus(PeerStatus &status, base::Time now);

    /// @brief Applies another daemon's status.
    void notePeerStatus(const PeerStatus &status, base::Time now);

    /// @brief Applies changes of daemons and endpoints; to be called about once a second.
    void update(base::Time now);

private:
    void noteStatement(const base::EndpointId &endpoint, std::optional<double> callsPerSecond, base::Time heardAt, base::Time now);

    base::DaemonId m_self;
    const SiteState &m_siteState;
    routing::RateAllowance &m_allowance;
    std::function<std::vector<base::DaemonId>()> m_otherDaemons;
};

} // namespace turmericplank::gateway
