#pragma once

#include <map>
#include <vector>

#include "turmericplank/membership/daemonview.hpp"
#include "turmericplank/membership/heartbeat.hpp"
#include "turmericplank/requests/admission.hpp"
#include "turmericplank/routing/sharedlimit.hpp"

namespace turmericplank::daemon {

/// @brief Rates of callers that all daemons of the cell share, kept for the callers that were seen lately.
class CallerLimits
{
public:
    /// @param self this daemon
    explicit CallerLimits(base::DaemonId self);

    /// @brief A caller sends a request: its part of the limit here.
    /// @param caller who
    /// @param whole the limit over all daemons; its concurrency is handed back as it is
    /// @param now the present
    requests::CallerLimit shareOf(const base::CallerName &caller, const requests::CallerLimit &whole, base::Time now);

    /// @brief Takes the daemons of the cell and decides all shares anew.
    void update(const std::vector<membership::Member> &members, base::Time now);

    /// @brief Takes another daemon's claims; limits that it leaves out it does not use.
    void take(const membership::Heartbeat &heartbeat);

    /// @brief Claims for a heartbeat.
    std::vector<membership::ShareClaim> claims(std::uint64_t sequence, base::Time now);

private:
    struct Rate
    {
        routing::SharedLimit limit;
        double perSecond = 0; ///< arrivals, fading
        base::Time arrivedAt;
    };

    double demand(const Rate &rate, base::Time now) const;
    void setOthers(Rate &rate) const;

    base::DaemonId m_self;
    std::vector<base::DaemonId> m_others;
    std::size_t m_registered = 1;
    std::map<membership::ShortName, Rate> m_rates;
};

} // namespace turmericplank::daemon
