#include "turmericplank/daemon/callerlimits.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::daemon {

namespace {

constexpr base::Duration RateMemory = std::chrono::seconds(2);
constexpr base::Duration IdleLifetime = std::chrono::minutes(1); ///< a caller that sends nothing for so long holds no share
constexpr double Headroom = 1.5; ///< of the demand over the arrivals seen
constexpr double LeastRate = 0.01; ///< requests a second; zero would mean no limit

} // namespace

CallerLimits::CallerLimits(base::DaemonId self)
    : m_self(std::move(self))
{
}

double CallerLimits::demand(const Rate &rate, base::Time now) const
{
    const double age = std::chrono::duration<double>(now - rate.arrivedAt) / std::chrono::duration<double>(RateMemory);
    return Headroom * rate.perSecond * std::exp(-std::max(0.0, age));
}

void CallerLimits::setOthers(Rate &rate) const
{
    rate.limit.setOthers(m_others, m_registered);
}

requests::CallerLimit CallerLimits::shareOf(const base::CallerName &caller, const requests::CallerLimit &whole, base::Time now)
{
    if (whole.requestsPerSecond <= 0) {
        return whole;
    }
    routing::SharedLimitOptions options;
    options.limit = whole.requestsPerSecond;
    const auto [it, isNew] = m_rates.try_emplace(membership::shortName(caller.text()), Rate{routing::SharedLimit(m_self, options), 0, now});
    auto &rate = it->second;
    if (isNew) {
        setOthers(rate);
    }
    rate.limit.setLimit(whole.requestsPerSecond);
    rate.perSecond = demand(rate, now) / Headroom + 1 / std::chrono::duration<double>(RateMemory).count();
    rate.arrivedAt = now;
    rate.limit.update(demand(rate, now), 0, now);
    return {std::max(LeastRate, rate.limit.share(now)), whole.concurrency};
}

void CallerLimits::update(const std::vector<membership::Member> &members, base::Time now)
{
    m_others.clear();
    for (const auto &it : members) {
        if (it.record.id != m_self && it.state != membership::LiveState::Gone) {
            m_others.push_back(it.record.id);
        }
    }
    m_registered = members.size();
    std::erase_if(m_rates, [now](const auto &it) { return now > it.second.arrivedAt + IdleLifetime; });
    for (auto &[name, rate] : m_rates) {
        setOthers(rate);
        rate.limit.update(demand(rate, now), 0, now);
    }
}

void CallerLimits::take(const membership::Heartbeat &heartbeat)
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
