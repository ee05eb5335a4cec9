#include "forwardedcall.hpp"

#include <utility>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using forwarding::SendResult;
using telemetry::LogLevel;

constexpr auto MaxOverlap = std::chrono::milliseconds(200); ///< of two accepted attempts; the platform tolerates 400 ms of work on both

} // namespace

/// An endpoint that pauses may be healthy, so its connection stays open while another endpoint is tried.
base::Time ForwardedCall::handleSilence(std::uint64_t number)
{
    const auto now = base::now();
    if (findAttempt(number) == nullptr || now >= m_attempts.deadline()) {
        return base::Time();
    }
    if (!isSilentAttempt(number)) {
        startReplacement(now, false);
    }
    const auto *attempt = findAttempt(number);
    return attempt == nullptr ? base::Time() : silenceDeadline(*attempt, now);
}

/// Sends the call to another endpoint if one has a free connection and is expected to send its first event soon. Otherwise the call
/// stays: an endpoint that is slow, not lost, still answers earlier than one that must start the call from the beginning.
void ForwardedCall::startReplacement(base::Time now, bool isBudgetUsed)
{
    if (m_silentAttempt || !m_attempts.maySendAgain(now) || isRefusedForCrashes()) {
        return;
    }
    auto &dependencies = m_forwarder.m_dependencies;
    auto request = routeRequest();
    request.excluded.push_back(m_attempt->choice.endpoint);
    const auto choice = dependencies.router.choose(request, now, dependencies.random);
    const bool isAvailable = choice && hasUsableConnection(choice->endpoint) && choice->expectedFirstToken < m_forwarder.m_options.minEventTimeout;
    if (!isAvailable || !(isBudgetUsed || m_forwarder.consumeRetryBudget(m_service, now))) {
        return;
    }
    telemetry::log(LogLevel::Info, "requests", "endpoint is silent, trying another one",
                   {{"request", m_call.id},
                    {"endpoint", m_attempt->choice.endpoint.text()},
                    {"other", choice->endpoint.text()},
                    {"events", m_events},
                    {"after_ms", base::millisecondsBetween(m_attempt->sentAt, now)}});
    m_silentAttempt = std::move(m_attempt);
    dependencies.router.noteSent(*choice, request, now);
    startAttempt(*choice);
}

/// Ends the attempt that has been silent, since it has failed or another one has taken its place.
void ForwardedCall::dropSilentAttempt(SendResult end)
{
    if (!m_silentAttempt) {
        return;
    }
    m_attempts.recordEnd(end);
    recordBreak(*m_silentAttempt);
    releaseConnection(*m_silentAttempt, false);
    reportAttemptEnd(*m_silentAttempt, routerOutcome(*m_silentAttempt, end));
    logAttemptEnd(*m_silentAttempt, end, true, "replaced");
    m_excludedEndpoints.push_back(m_silentAttempt->choice.endpoint);
    m_silentAttempt.reset();
    m_overlapTimer.cancel();
}

/// Ends the attempt that was to replace the silent one.
void ForwardedCall::returnToSilentAttempt(SendResult end)
{
    m_attempts.recordEnd(end);
    releaseConnection(*m_attempt, false);
    logAttemptEnd(*m_attempt, end, true, "back_to_first");
    m_excludedEndpoints.push_back(m_attempt->choice.endpoint);
    m_attempt = std::exchange(m_silentAttempt, std::nullopt);
    m_overlapTimer.cancel();
}

/// Once another endpoint has accepted the call, it may run there at any moment, and should then no longer run here.
void ForwardedCall::armOverlapTimer()
{
    m_overlapTimer.expires_after(MaxOverlap);
    m_overlapTimer.async_wait([self = Pointer(this), number = m_attempt->number](boost::system::error_code ec) {
        const bool isCurrent = !ec && !self->m_isFinished && self->m_attempt && self->m_attempt->number == number;
        if (isCurrent) {
            self->dropSilentAttempt(SendResult::Silent);
        }
    });
}

/// Of two attempts, the first one that brings a whole event or the end of the answer is kept; the other one ends, so that only one runs on.
void ForwardedCall::keepOnly(std::uint64_t number)
{
    if (isSilentAttempt(number)) {
        reportAttemptEnd(*m_attempt, routing::AttemptOutcome::Cancelled);
        returnToSilentAttempt(m_attempt->pooled ? SendResult::Silent : SendResult::NotSent);
    } else {
        dropSilentAttempt(SendResult::Silent);
    }
}

} // namespace turmericplank::gateway
