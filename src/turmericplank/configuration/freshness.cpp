#include "freshness.hpp"

#include <algorithm>

namespace turmericplank::configuration {

Freshness::Freshness(const ActivationOptions &options, base::Time now)
    : m_options(options)
    , m_lastTick(now)
    , m_readAt(now)
    , m_ownReadAt(now)
    , m_isolatedFrom(now + options.isolationLimit)
{
}

void Freshness::tick(base::Time now)
{
    if (now - m_lastTick > m_options.pauseLimit) {
        m_resumedAt = now;
        m_doubtfulUntil = now + m_options.confirmationLimit;
        // What was heard before the gap says nothing about now, and a read that was under way may be as old.
        m_readAt = now;
        m_ownReadAt = now;
        m_isReading = false;
        m_isolatedFrom = std::max(m_isolatedFrom, m_doubtfulUntil);
    }
    m_lastTick = std::max(m_lastTick, now);
    if (m_isReading && now >= m_readTimeout) {
        m_isReading = false;
    }
}

bool Freshness::mustRead(base::Time now) const
{
    return !m_isReading && (now >= m_readAt || now >= m_ownReadAt);
}

std::uint64_t Freshness::beginRead(base::Time now)
{
    m_isReading = true;
    m_readBegan = now;
    m_readTimeout = now + m_options.readTimeout;
    m_readAt = now + readInterval();
    m_ownReadAt = now + m_options.longestPollInterval;
    m_read += 1;
    return m_read;
}

void Freshness::readEnded(std::uint64_t read, bool isAnswered, base::Time now)
{
    if (isAnswered) {
        heard(now);
    }
    if (read != m_read || !m_isReading) {
        return;
    }
    m_isReading = false;
    if (isAnswered) {
        confirm(m_readBegan);
    }
}

void Freshness::peerHeard(const RevisionNotice &notice, base::Revision highest, base::Time now)
{
    m_hasPeers = true;
    heard(now);
    // A peer that knows less than this daemon confirms nothing about what this daemon knows.
    if (notice.highest == highest && notice.confirmedAt <= now) {
        confirm(notice.confirmedAt);
        m_readAt = std::max(m_readAt, notice.confirmedAt + readInterval());
    }
}

void Freshness::setHasPeers(bool hasPeers)
{
    m_hasPeers = hasPeers;
}

void Freshness::peerAnswered(base::Time now)
{
    m_hasPeers = true;
    heard(now);
}

base::Time Freshness::confirmedAt() const
{
    return m_confirmedAt;
}

bool Freshness::isIsolated(base::Time now) const
{
    return m_hasPeers && now >= m_isolatedFrom;
}

bool Freshness::isDoubtful(base::Time now) const
{
    return now < m_doubtfulUntil || now - m_lastTick > m_options.pauseLimit;
}

base::Time Freshness::nextDeadline() const
{
    // Ticks must come more often than a gap that counts as a pause.
    const auto next = m_isReading ? m_readTimeout : std::min(m_readAt, m_ownReadAt);
    return std::min(next, m_lastTick + m_options.pauseLimit / 2);
}

/// A daemon without peers reads for itself alone.
base::Duration Freshness::readInterval() const
{
    return m_hasPeers ? m_options.pollInterval + m_options.readDelay : m_options.pollInterval;
}

void Freshness::confirm(base::Time at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
    if (at >= m_resumedAt) {
        m_doubtfulUntil = {};
    }
}

void Freshness::heard(base::Time now)
{
    m_isolatedFrom = now + m_options.isolationLimit;
}

} // namespace turmericplank::configuration
