#pragma once

#include <map>
#include <vector>

#include "turmericplank/membership/daemonview.hpp"
#include "turmericplank/membership/heartbeat.hpp"
#include "turmericplank/requests/admission.hpp"
#include "turmericplank/routing/sharedlimit.hpp"

namespace turmericplank::daemon {

/// @brief Divides the callers' rate limits among the daemons of the cell; keeps state for recently active callers only.
class CallerLimits
{
public:
    /// @param self this daemon
    explicit CallerLimits(base::DaemonId self);

    /// @brief Records a request of a caller and returns this daemon's share of the caller's limit.
    /// @param caller the caller that sent the request
    /// @param totalLimit the limit over all daemons; its concurrency is returned unchanged
    /// @param now current time
    /// @return the limit with this daemon's share of the rate, which is above zero; totalLimit itself if it has no rate limit
    requests::CallerLimit localLimit(const base::CallerName &caller, const requests::CallerLimit &totalLimit, base::Time now);

    /// @brief Sets the daemons of the cell and recomputes all shares.
    void update(const std::vector<membership::Member> &members, base::Time now);

    /// @brief Applies another daemon's claims; for limits that the heartbeat omits, that daemon claims no share.
    void applyHeartbeat(const membership::Heartbeat &heartbeat);

    /// @brief Returns this daemon's claims for its next heartbeat.
    /// @param sequence sequence number of the heartbeat
    /// @param now current time
    std::vector<membership::ShareClaim> claims(std::uint64_t sequence, base::Time now);

private:
    struct Rate
    {
        routing::SharedLimit limit;
        double arrivalsPerSecond = 0; ///< arrivals per second, exponentially decayed
        base::Time arrivedAt;
    };

    double demand(const Rate &rate, base::Time now) const;
    void setOthers(Rate &rate) const;

    base::DaemonId m_self;
    std::vector<base::DaemonId> m_otherDaemons;
    std::size_t m_registeredCount = 1;
    std::map<membership::ShortName, Rate> m_rates;
};

} // namespace turmericplank::daemon
