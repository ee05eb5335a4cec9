#include "turmericplank/daemon/callerlimits.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::daemon {

namespace {

constexpr base::Duration DecayTime = std::chrono::seconds(2);
constexpr base::Duration IdleLifetime = std::chrono::minutes(1); ///< a caller that sends nothing for this long loses its share
constexpr double DemandHeadroom = 1.5; ///< factor between observed arrivals and claimed demand
constexpr double MinRate = 0.01; ///< requests per second; zero would mean no limit

} // namespace

CallerLimits::CallerLimits(base::DaemonId self)
    : m_self(std::move(self))
{
}

double CallerLimits::demand(const Rate &rate, base::Time now) const
{
    const double age = std::chrono::duration<double>(now - rate.arrivedAt) / std::chrono::duration<double>(DecayTime);
    return DemandHeadroom * rate.arrivalsPerSecond * std::exp(-std::max(0.0, age));
}

void CallerLimits::setOthers(Rate &rate) const
{
    rate.limit.setOthers(m_otherDaemons, m_registeredCount);
}

requests::CallerLimit CallerLimits::localLimit(const base::CallerName &caller, const requests::CallerLimit &totalLimit, base::Time now)
{
    if (totalLimit.requestsPerSecond <= 0) {
        return totalLimit;
    }
    routing::SharedLimitOptions options;
    options.limit = totalLimit.requestsPerSecond;
    const auto [it, isNew] = m_rates.try_emplace(membership::shortName(caller.text()), Rate{routing::SharedLimit(m_self, options), 0, now});
    auto &rate = it->second;
    if (isNew) {
        setOthers(rate);
    }
    rate.limit.setLimit(totalLimit.requestsPerSecond);
    rate.arrivalsPerSecond = demand(rate, now) / DemandHeadroom + 1 / std::chrono::duration<double>(DecayTime).count();
    rate.arrivedAt = now;
    rate.limit.update(demand(rate, now), 0, now);
    return {std::max(MinRate, rate.limit.share(now)), totalLimit.concurrency};
}

void CallerLimits::update(const std::vector<membership::Member> &members, base::Time now)
{
    m_otherDaemons.clear();
    for (const auto &it : members) {
        if (it.record.id != m_self && it.state != membership::LiveState::Gone) {
            m_otherDaemons.push_back(it.record.id);
        }
    }
    m_registeredCount = members.size();
    std::erase_if(m_rates, [now](const auto &it) { return now > it.second.arrivedAt + IdleLifetime; });
    for (auto &[name, rate] : m_rates) {
        setOthers(rate);
        rate.limit.update(demand(rate, now), 0, now);
    }
}

void CallerLimits::applyHeartbeat(const membership::Heartbeat &heartbeat)
{
    for (auto &[name, rate] : m_rates) {
        const auto claim = std::ranges::find(heartbeat.shares, name, &membership::ShareClaim::limit);
        const bool isClaimed = claim != heartbeat.shares.end();
        rate.limit.noteClaim(
            {heartbeat.from, isClaimed ? routing::LimitClaim{claim->reserved, claim->demand} : routing::LimitClaim(), heartbeat.receiverSequence});
    }
}

std::vector<membership::ShareClaim> CallerLimits::claims(std::uint64_t sequence, base::Time now)
{
    std::vector<membership::ShareClaim> all;
    for (auto &[name, rate] : m_rates) {
        const auto claim = rate.limit.claim(sequence, now);
        all.push_back({name, claim.reserved, claim.demand});
    }
    return all;
}

} // namespace turmericplank::daemon
