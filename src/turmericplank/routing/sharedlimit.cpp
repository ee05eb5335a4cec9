#include "turmericplank/routing/sharedlimit.hpp"

#include <algorithm>
#include <vector>

namespace turmericplank::routing {

namespace {

constexpr double SmallestStep = 1e-6; ///< of a share; keeps rounding from causing changes

constexpr std::size_t SentKept = 64; ///< heartbeats; more than are sent within the time that a share is held

/// Level up to which all demands can be filled so that their sum is the amount.
double fillLevel(std::vector<double> demands, double amount)
{
    std::ranges::sort(demands);
    double left = amount;
    for (std::size_t n = 0; n < demands.size(); ++n) {
        const double even = left / static_cast<double>(demands.size() - n);
        if (demands[n] >= even) {
            return even;
        }
        left -= demands[n];
    }
    return amount;
}

} // namespace

SharedLimit::SharedLimit(base::DaemonId self, SharedLimitOptions options)
    : m_self(std::move(self))
    , m_options(std::move(options))
{
}

double SharedLimit::pool() const
{
    return m_options.limit * (1 - m_options.floorPart);
}

double SharedLimit::floorShare() const
{
    return m_options.limit * m_options.floorPart / static_cast<double>(m_registered);
}

void SharedLimit::setLimit(double limit)
{
    if (m_options.limit > 0 && limit < m_options.limit) {
        m_reserved *= limit / m_options.limit;
        m_used *= limit / m_options.limit;
    }
    m_options.limit = limit;
}

void SharedLimit::setOthers(const std::vector<base::DaemonId> &others, std::size_t registered)
{
    m_registered = std::max(registered, others.size() + 1);
    std::erase_if(m_others, [&](const auto &it) { return std::ranges::find(others, it.first) == others.end(); });
    for (const auto &it : others) {
        // One that joins must acknowledge what is reserved before more of it is used.
        m_others.try_emplace(it);
    }
}

void SharedLimit::noteClaim(const HeardClaim &heard)
{
    const auto it = m_others.find(heard.from);
    if (it == m_others.end()) {
        return;
    }
    auto &other = it->second;
    other.claim = heard.claim;
    // Its own sending time bounds the age of an acknowledgement, however long that was on its way.
    const auto sent = std::ranges::find(m_sent, heard.acknowledged, &Sent::sequence);
    if (sent != m_sent.end()) {
        other.acknowledged = std::max(other.acknowledged, sent->sequence);
        other.heardMeAt = std::max(other.heardMeAt, sent->at);
    }
}

double SharedLimit::othersReserved() const
{
    double sum = 0;
    for (const auto &[daemon, other] : m_others) {
        sum += other.claim.reserved;
    }
    return sum;
}

double SharedLimit::target(double demand) const
{
    std::vector<double> demands = {demand};
    for (const auto &[daemon, other] : m_others) {
        demands.push_back(other.claim.demand);
    }
    const double level = fillLevel(demands, pool());
    double surplus = pool();
    for (const auto it : demands) {
        surplus -= std::min(it, level);
    }
    // What nobody asks for is split evenly, so that a rise of the demand anywhere finds some at once.
    return std::min(demand, level) + std::max(0.0, surplus) / static_cast<double>(demands.size());
}

bool SharedLimit::isHeld(base::Time now) const
{
    const auto hears = [&](const auto &it) {
        return now - it.second.heardMeAt <= m_options.holdFor;
    };
    const auto hearing = static_cast<std::size_t>(std::ranges::count_if(m_others, hears)) + 1;
    return m_options.rules.isHeld(hearing, m_others.size() + 1);
}

bool SharedLimit::isAcknowledged() const
{
    if (!m_isTold || !m_toldAt) {
        return m_others.empty();
    }
    const auto hasTaken = [&](const auto &it) {
        return it.second.acknowledged >= *m_toldAt;
    };
    return m_options.rules.mayUse(static_cast<std::size_t>(std::ranges::count_if(m_others, hasTaken)), m_others.size());
}

bool SharedLimit::mustYield() const
{
    return std::ranges::any_of(m_others, [&](const auto &it) { return it.first < m_self && it.second.claim.reserved > 0; });
}

void SharedLimit::update(double demand, double inUse, base::Time now)
{
    m_demand = demand;
    if (!isHeld(now)) {
        m_reserved = inUse;
        m_used = 0;
        m_toldAt.reset();
        m_isTold = false;
        return;
    }
    const double wanted = target(demand);
    if (wanted < m_reserved - SmallestStep) {
        m_reserved = std::max(wanted, std::min(m_reserved, inUse));
        m_used = std::min(m_used, m_reserved);
    }
    const double room = pool() - othersReserved();
    if (m_reserved > m_used + SmallestStep && isAcknowledged()) {
        if (m_reserved <= room + SmallestStep) {
            m_used = m_reserved;
        } else if (mustYield()) {
            m_reserved = m_used;
        }
    }
    const double most = std::min(wanted, room);
    if (most > m_reserved + SmallestStep) {
        m_reserved = most;
        m_isTold = false;
    }
}

LimitClaim SharedLimit::claim(std::uint64_t sequence, base::Time now)
{
    m_sent.push_back({sequence, now});
    if (m_sent.size() > SentKept) {
        m_sent.pop_front();
    }
    if (!m_isTold) {
        m_toldAt = sequence;
        m_isTold = true;
    }
    return {m_reserved, m_demand};
}

double SharedLimit::share(base::Time now) const
{
    return floorShare() + (isHeld(now) ? m_used : 0);
}

} // namespace turmericplank::routing
