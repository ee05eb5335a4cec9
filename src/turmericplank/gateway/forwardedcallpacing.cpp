#include "forwardedcall.hpp"

#include <utility>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

} // namespace

/// Called once the stream to the caller has begun.
void ForwardedCall::startPacing()
{
    m_exchange->setOnWritten([self = Pointer(this)] {
        if (!self->m_isFinished) {
            self->paceReading();
        }
    });
}

/// Stops reading the stream while the caller leaves much of it unread, so that it is not this daemon that holds it.
void ForwardedCall::paceReading()
{
    const auto unread = m_exchange->queuedBytes();
    const auto max = m_forwarder.m_options.maxUnreadBytes;
    const bool mayHoldMore = !m_isFromPeer && m_forwarder.m_options.hasRoomForUnread();
    if (!m_isReadingPaused && unread > max && !mayHoldMore) {
        setReadingPaused(true);
    } else if (m_isReadingPaused && unread <= max / 2) {
        setReadingPaused(false);
    }
}

void ForwardedCall::setReadingPaused(bool isPaused)
{
    m_isReadingPaused = isPaused;
    if (isPaused) {
        m_forwarder.m_dependencies.metrics.count("reading_pauses_total");
        if (!std::exchange(m_wasReadingPaused, true)) {
            logSlowCaller();
        }
    }
    if (m_peerForward) {
        m_peerForward->setReadingPaused(isPaused);
    }
    if (m_attempt && m_attempt->pooled) {
        m_attempt->wasReadingPaused = true;
        m_attempt->pooled->connection->setReadingPaused(isPaused);
        m_attempt->pooled->connection->setDeadline(silenceDeadline(*m_attempt, base::now()));
    }
}

void ForwardedCall::logSlowCaller() const
{
    const auto now = base::now();
    if (m_forwarder.m_slowReaderLineBudget.tryAcquire(now)) {
        telemetry::log(LogLevel::Info, "requests", "caller reads slowly",
                       {{"request", m_call.id},
                        {"route", m_route.name},
                        {"from_peer", m_isFromPeer ? "yes" : "no"},
                        {"unread_bytes", std::uint64_t(m_exchange->queuedBytes())},
                        {"events", m_events},
                        {"after_ms", base::millisecondsBetween(m_arrivedAt, now)}});
    }
}

} // namespace turmericplank::gateway
