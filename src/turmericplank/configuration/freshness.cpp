#include "freshness.hpp"

#include <algorithm>

namespace turmericplank::configuration {

Freshness::Freshness(const ActivationOptions &options, base::Time now)
    : m_options(options)
    , m_lastTick(now)
    , m_readAt(now)
    , m_forcedReadAt(now)
    , m_isolatedFrom(now + options.isolationTimeout)
{
}

void Freshness::tick(base::Time now)
{
    if (now - m_lastTick > m_options.maxTickGap) {
        m_resumedAt = now;
        m_unconfirmedUntil = now + m_options.confirmationTimeout;
        // Information from before the gap may be outdated, and so may the response to a read that was in flight.
        m_readAt = now;
        m_forcedReadAt = now;
        m_isReading = false;
        m_isolatedFrom = std::max(m_isolatedFrom, m_unconfirmedUntil);
    }
    m_lastTick = std::max(m_lastTick, now);
    if (m_isReading && now >= m_readTimeout) {
        m_isReading = false;
    }
}

bool Freshness::isReadDue(base::Time now) const
{
    return !m_isReading && (now >= m_readAt || now >= m_forcedReadAt);
}

std::uint64_t Freshness::beginRead(base::Time now)
{
    m_isReading = true;
    m_readStartedAt = now;
    m_readTimeout = now + m_options.readTimeout;
    m_readAt = now + readInterval();
    m_forcedReadAt = now + m_options.maxPollInterval;
    m_readNumber += 1;
    return m_readNumber;
}

void Freshness::readEnded(std::uint64_t read, bool isAnswered, base::Time now)
{
    if (isAnswered) {
        contactMade(now);
    }
    if (read != m_readNumber || !m_isReading) {
        return;
    }
    m_isReading = false;
    if (isAnswered) {
        confirm(m_readStartedAt);
    }
}

void Freshness::noticeReceived(const RevisionNotice &notice, base::Revision highest, base::Time now)
{
    m_hasPeers = true;
    contactMade(now);
    // Only a peer that knows the same newest revision can confirm this daemon's copy.
    if (notice.highest == highest && notice.confirmedAt <= now) {
        confirm(notice.confirmedAt);
        m_readAt = std::max(m_readAt, notice.confirmedAt + readInterval());
    }
}

void Freshness::setHasPeers(bool hasPeers)
{
    m_hasPeers = hasPeers;
}

void Freshness::peerResponded(base::Time now)
{
    m_hasPeers = true;
    contactMade(now);
}

base::Time Freshness::confirmedAt() const
{
    return m_confirmedAt;
}

bool Freshness::isIsolated(base::Time now) const
{
    return m_hasPeers && now >= m_isolatedFrom;
}

bool Freshness::isUnconfirmed(base::Time now) const
{
    return now < m_unconfirmedUntil || now - m_lastTick > m_options.maxTickGap;
}

base::Time Freshness::nextDeadline() const
{
    // Tick more often than the gap that counts as a pause.
    const auto next = m_isReading ? m_readTimeout : std::min(m_readAt, m_forcedReadAt);
    return std::min(next, m_lastTick + m_options.maxTickGap / 2);
}

/// Without peers there is no other reader to wait for.
base::Duration Freshness::readInterval() const
{
    return m_hasPeers ? m_options.pollInterval + m_options.readDelay : m_options.pollInterval;
}

void Freshness::confirm(base::Time at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
    if (at >= m_resumedAt) {
        m_unconfirmedUntil = {};
    }
}

void Freshness::contactMade(base::Time now)
{
    m_isolatedFrom = now + m_options.isolationTimeout;
}

} // namespace turmericplank::configuration
