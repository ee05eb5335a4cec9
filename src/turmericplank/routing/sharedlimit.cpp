#include "turmericplank/routing/sharedlimit.hpp"

#include <algorithm>
#include <vector>

#include "turmericplank/routing/fairshare.hpp"

namespace turmericplank::routing {

namespace {

constexpr double MinChange = 1e-6; ///< smaller differences between amounts are treated as rounding errors and cause no change

constexpr std::size_t MaxSentHeartbeats = 64; ///< more than are sent within the lease duration

} // namespace

SharedLimit::SharedLimit(base::DaemonId self, SharedLimitOptions options)
    : m_self(std::move(self))
    , m_options(std::move(options))
{
}

double SharedLimit::pool() const
{
    return m_options.limit * (1 - m_options.guaranteedPart);
}

double SharedLimit::guaranteedShare() const
{
    return m_options.limit * m_options.guaranteedPart / static_cast<double>(m_registered);
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
        // A daemon that joins must acknowledge the current reservation before more of it is used.
        m_others.try_emplace(it);
    }
}

void SharedLimit::noteClaim(const ReceivedClaim &heard)
{
    const auto it = m_others.find(heard.from);
    if (it == m_others.end()) {
        return;
    }
    auto &other = it->second;
    other.claim = heard.claim;
    // Uses the send time of the acknowledged heartbeat, so that a delayed acknowledgement does not count as recent.
    const auto sent = std::ranges::find(m_sent, heard.acknowledged, &SentHeartbeat::sequence);
    if (sent != m_sent.end()) {
        other.acknowledged = std::max(other.acknowledged, sent->sequence);
        other.acknowledgedSentAt = std::max(other.acknowledgedSentAt, sent->at);
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
    std::vector<double> others;
    for (const auto &[daemon, other] : m_others) {
        others.push_back(other.claim.demand);
    }
    return fairShare(demand, others, pool());
}

bool SharedLimit::isLeaseValid(base::Time now) const
{
    const auto hasAcknowledgedRecently = [&](const auto &it) {
        return now - it.second.acknowledgedSentAt <= m_options.leaseDuration;
    };
    const auto acknowledging = static_cast<std::size_t>(std::ranges::count_if(m_others, hasAcknowledgedRecently)) + 1;
    return m_options.rules.isLeaseValid(acknowledging, m_others.size() + 1);
}

bool SharedLimit::isAcknowledged() const
{
    if (!m_isAnnounced || !m_announcedIn) {
        return m_others.empty();
    }
    const auto hasAcknowledged = [&](const auto &it) {
        return it.second.acknowledged >= *m_announcedIn;
    };
    return m_options.rules.mayUse(static_cast<std::size_t>(std::ranges::count_if(m_others, hasAcknowledged)), m_others.size());
}

bool SharedLimit::mustYield() const
{
    return std::ranges::any_of(m_others, [&](const auto &it) { return it.first < m_self && it.second.claim.reserved > 0; });
}

void SharedLimit::update(double demand, double inUse, base::Time now)
{
    m_demand = demand;
    if (!isLeaseValid(now)) {
        m_reserved = inUse;
        m_used = 0;
        m_announcedIn.reset();
        m_isAnnounced = false;
        return;
    }
    const double wanted = target(demand);
    if (wanted < m_reserved - MinChange) {
        m_reserved = std::max(wanted, std::min(m_reserved, inUse));
        m_used = std::min(m_used, m_reserved);
    }
    const double available = pool() - othersReserved();
    if (m_reserved > m_used + MinChange && isAcknowledged()) {
        if (m_reserved <= available + MinChange) {
            m_used = m_reserved;
        } else if (mustYield()) {
            m_reserved = m_used;
        }
    }
    const double achievable = std::min(wanted, available);
    if (achievable > m_reserved + MinChange) {
        m_reserved = achievable;
        m_isAnnounced = false;
    }
}

LimitClaim SharedLimit::claim(std::uint64_t sequence, base::Time now)
{
    m_sent.push_back({sequence, now});
    if (m_sent.size() > MaxSentHeartbeats) {
        m_sent.pop_front();
    }
    if (!m_isAnnounced) {
        m_announcedIn = sequence;
        m_isAnnounced = true;
    }
    return {m_reserved, m_demand};
}

double SharedLimit::share(base::Time now) const
{
    return guaranteedShare() + (isLeaseValid(now) ? m_used : 0);
}

} // namespace turmericplank::routing
