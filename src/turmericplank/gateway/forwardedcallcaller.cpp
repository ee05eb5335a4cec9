#include "forwardedcall.hpp"

#include <string>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

} // namespace

/// Ends the call if its caller has left, also if the end of the connection has not been handled yet. A daemon that is short of processor time would
/// otherwise send calls that nobody waits for.
bool ForwardedCall::endIfCallerLeft()
{
    if (m_exchange->isCallerConnected()) {
        return false;
    }
    m_forwarder.m_dependencies.metrics.count("calls_not_sent_without_caller_total");
    handleCallerDisconnect();
    return true;
}

/// What the call is waiting for, for the log.
std::string_view ForwardedCall::stage() const
{
    if (m_peerForward) {
        return "at_peer";
    }
    if (!m_attempt) {
        return "waiting";
    }
    if (!m_attempt->pooled) {
        return "connecting";
    }
    return m_isStreaming ? "streaming" : "sent";
}

void ForwardedCall::logCutOff() const
{
    telemetry::log(LogLevel::Warning, "requests", "cut off by the stop",
                   {{"request", m_call.id},
                    {"route", m_route.name},
                    {"stage", stage()},
                    {"from_peer", m_isFromPeer ? "yes" : "no"},
                    {"endpoint", m_attempt ? m_attempt->choice.endpoint.text() : "none"},
                    {"sends", static_cast<int>(m_attempts.sends())},
                    {"events", m_events},
                    {"after_ms", base::millisecondsBetween(m_arrivedAt, base::now())}});
}

void ForwardedCall::handleCallerDisconnect()
{
    if (m_isFinished) {
        return;
    }
    const auto lastStage = stage();
    const bool isSent = lastStage != "waiting" && lastStage != "connecting";
    if (!isSent && !m_attempts.mayHaveRun()) {
        giveBackUse();
    }
    abandonAttempts(routing::AttemptOutcome::Cancelled);
    m_forwarder.m_dependencies.metrics.count("callers_left_total{stage=\"" + std::string(lastStage) + "\"}");
    telemetry::log(LogLevel::Info, "requests", "caller disconnected",
                   {{"request", m_call.id},
                    {"route", m_route.name},
                    {"stage", lastStage},
                    {"from_peer", m_isFromPeer ? "yes" : "no"},
                    {"after_ms", base::millisecondsBetween(m_arrivedAt, base::now())},
                    {"endpoint", m_attempt ? m_attempt->choice.endpoint.text() : "none"}});
    finish("caller_left");
}

} // namespace turmericplank::gateway
