#include "forwardedcall.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <boost/asio/post.hpp>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using forwarding::NextStep;
using forwarding::SendResult;
using telemetry::LogLevel;

constexpr int FirstFailureStatus = 500;
constexpr std::uint32_t MaxUrgency = 9;
constexpr std::uint32_t YieldingUrgency = 3; ///< added to the rank of deferrable routes, and of late calls; calls with higher numbers are admitted later

std::string takeBody(CallAttempt &attempt)
{
    return attempt.body ? attempt.body->take() : std::string();
}

} // namespace

/// Such a status is not relayed from an endpoint that does not state itself that the call has not run.
bool impliesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

AttemptHeaders ForwardedCall::attemptHeaders(base::Time now) const
{
    AttemptHeaders head;
    head.expectedInstance = m_attempt->choice.endpoint;
    head.remainingTime = m_attempts.deadline() - now;
    const auto routeUrgency = std::min(m_route.rank + (isDeferrable(m_route) ? YieldingUrgency : 0) + (m_isLate ? YieldingUrgency : 0), MaxUrgency);
    const auto accountPriority = m_account == nullptr ? std::optional<std::uint32_t>() : m_account->priority.value_or(0);
    head.urgency = accounts::urgencyOf(m_routes->accountPriorities(), accountPriority, routeUrgency);
    if (m_route.kind.isStreamed) {
        head.lastEventId = m_lastEvent;
    }
    if (m_routes->configuration().accounts) {
        head.account = m_account == nullptr ? base::CallerName() : m_account->name;
    }
    return head;
}

base::Time ForwardedCall::silenceDeadline(const CallAttempt &attempt, base::Time now) const
{
    const auto &options = m_forwarder.m_options;
    const bool canResume = m_route.kind.isStreamed && m_route.kind.isResumable;
    // An endpoint that is not read is not silent.
    if (!canResume || m_isReadingPaused) {
        return m_attempts.deadline();
    }
    const auto objective =
        attempt.hasFirstEvent ? m_route.eventGapObjective * options.eventGapTimeoutFactor : m_route.objective * options.firstEventTimeoutFactor;
    const auto limit = std::max(std::chrono::duration_cast<base::Duration>(objective), options.minEventTimeout);
    return std::min(now + limit, m_attempts.deadline());
}

void ForwardedCall::sendRequest(const PooledConnection &pooled)
{
    const auto now = base::now();
    if (endIfCallerLeft()) {
        m_forwarder.m_dependencies.pool.returnConnection(pooled, std::nullopt, now);
        return;
    }
    // After a pause of the process, the connection may be handled before the timer of the deadline.
    if (now >= m_attempts.deadline()) {
        m_forwarder.m_dependencies.pool.returnConnection(pooled, std::nullopt, now);
        handleDeadline();
        return;
    }
    m_attempt->pooled = pooled;
    net::ClientRequest send;
    send.request = m_forwarder.m_dependencies.wire.makeAttemptRequest(m_exchange->request(), attemptHeaders(now));
    send.deadline = silenceDeadline(*m_attempt, now);
    const auto self = Pointer(this);
    const auto number = m_attempt->number;
    send.onHeaders = [self, number](int status, const net::Headers &headers) {
        return self->handleResponseHead(number, status, headers);
    };
    send.onChunk = [self, number](std::string_view chunk) {
        self->handleBodyChunk(number, chunk);
    };
    send.onTimeout = [self, number] {
        return self->handleSilence(number);
    };
    send.onEnd = [self, number](net::SendOutcome outcome) {
        self->handleAttemptEnd(number, outcome);
    };
    m_forwarder.m_dependencies.pool.noteSent(pooled.endpoint, now);
    pooled.connection->send(std::move(send));
}

CallAttempt *ForwardedCall::findAttempt(std::uint64_t number)
{
    if (m_isFinished) {
        return nullptr;
    }
    if (isSilentAttempt(number)) {
        return &*m_silentAttempt;
    }
    return m_attempt && m_attempt->number == number ? &*m_attempt : nullptr;
}

bool ForwardedCall::isSilentAttempt(std::uint64_t number) const
{
    return m_silentAttempt && m_silentAttempt->number == number;
}

/// Applies what an endpoint states about itself beside its response. It holds even if the response itself cannot be used, but not
/// if another instance has responded.
void ForwardedCall::applyEndpointNotices(const CallAttempt &attempt, const ResponseHead &head)
{
    const auto &endpoint = attempt.choice.endpoint;
    const bool isOtherInstance = !head.instance.empty() && head.instance != endpoint.text();
    if (isOtherInstance || !attempt.pooled) {
        return;
    }
    recordSignOfLife(attempt);
    const auto now = base::now();
    auto &dependencies = m_forwarder.m_dependencies;
    const DrainingEndpoint incarnation{endpoint, attempt.pooled->incarnation};
    if (head.isLeaving && dependencies.siteState.noteLeavingAnswer(incarnation, now)) {
        telemetry::log(LogLevel::Info, "endpoints", "leaving by its own answer",
                       {{"endpoint", endpoint.text()}, {"incarnation", incarnation.incarnation.value()}, {"request", m_call.id}});
        dependencies.onEndpointLeaving();
    }
    dependencies.onRejectionTolerance(endpoint, head.rejectionTolerance);
    dependencies.onRateLimit(endpoint, head.callsPerSecond);
    if (head.pause) {
        dependencies.router.notePause(endpoint, now + *head.pause);
        dependencies.metrics.count("endpoint_pauses_total");
        telemetry::log(LogLevel::Info, "endpoints", "asks for a pause",
                       {{"endpoint", endpoint.text()}, {"pause_ms", base::inMilliseconds(*head.pause)}, {"request", m_call.id}});
    }
}

net::HeaderAction ForwardedCall::handleResponseHead(std::uint64_t number, int status, const net::Headers &headers)
{
    auto *attempt = findAttempt(number);
    if (attempt == nullptr) {
        return net::HeaderAction::Accept;
    }
    m_forwarder.m_dependencies.pool.noteReceived(attempt->choice.endpoint, base::now());
    auto head = m_forwarder.m_dependencies.wire.decodeResponseHead(status, headers);
    if (!head.callId.empty() && head.callId != m_call.id) {
        telemetry::log(LogLevel::Warning, "requests", "skipped a late answer to another request",
                       {{"request", m_call.id}, {"answer_to", head.callId}, {"endpoint", attempt->choice.endpoint.text()}});
        return net::HeaderAction::Skip;
    }
    applyEndpointNotices(*attempt, head);
    const bool isSuccess = status >= 200 && status < 300;
    const bool belongsToCall = head.callId == m_call.id && (head.isAuthentic || !isSuccess);
    const bool hasOtherStatus = m_isStreaming && status != m_streamStatus;
    attempt->isRelaying = isSuccess && belongsToCall && m_route.kind.isStreamed && !hasOtherStatus;
    attempt->headers = m_forwarder.m_dependencies.wire.forwardedHeaders(headers);
    attempt->head = std::move(head);
    if (attempt->isRelaying && m_silentAttempt && !isSilentAttempt(number)) {
        armOverlapTimer();
    }
    return attempt->isRelaying ? net::HeaderAction::Stream : net::HeaderAction::Accept;
}

void ForwardedCall::handleBodyChunk(std::uint64_t number, std::string_view chunk)
{
    auto *attempt = findAttempt(number);
    if (attempt == nullptr) {
        return;
    }
    m_forwarder.m_dependencies.pool.noteReceived(attempt->choice.endpoint, base::now());
    if (!attempt->isRelaying) {
        collect(*attempt, chunk);
        return;
    }
    const auto known = attempt->events.events();
    auto events = attempt->events.feed(chunk);
    if (!events) {
        handleAttemptEnd(number, net::SendOutcome::Malformed);
        return;
    }
    if (events->empty()) {
        return;
    }
    recordSignOfLife(*attempt);
    keepOnly(number);
    m_events += m_attempt->events.events() - known;
    m_lastEvent = m_attempt->events.lastEvent();
    m_isInsideEvent = false;
    const auto now = base::now();
    if (!m_attempt->hasFirstEvent) {
        m_attempt->hasFirstEvent = true;
        m_attempt->firstEventAt = now;
        m_forwarder.m_dependencies.router.noteFirstToken(m_attempt->choice.ticket, now);
    }
    if (now >= m_attempt->firstEventAt + m_forwarder.m_options.crashTime) {
        recordProof(*m_attempt);
    }
    if (!m_isStreaming) {
        startStream(now);
    }
    m_maxEventGap = std::max(m_maxEventGap, now - std::exchange(m_lastEventAt, now));
    m_attempt->pooled->connection->setDeadline(silenceDeadline(*m_attempt, now));
    m_exchange->writeChunk(std::move(*events));
    paceReading();
}

/// A body that gives way ends its attempt later, since the attempt of another call may be in use now.
void ForwardedCall::collect(CallAttempt &attempt, std::string_view chunk)
{
    if (!attempt.body) {
        attempt.body.reset(new CollectedBody(m_forwarder.m_collectionBudget, [self = this, number = attempt.number] {
            auto &dependencies = self->m_forwarder.m_dependencies;
            dependencies.metrics.count("collected_bodies_dropped_total");
            telemetry::log(LogLevel::Warning, "requests", "dropped an answer to bound what is collected", {{"request", self->m_call.id}});
            boost::asio::post(dependencies.context, [call = Pointer(self), isAlive = self->m_forwarder.m_isAlive, number] {
                if (*isAlive && !call->m_isFinished) {
                    call->handleAttemptEnd(number, net::SendOutcome::Malformed);
                }
            });
        }));
    }
    attempt.body->append(chunk);
}

void ForwardedCall::startStream(base::Time now)
{
    m_isStreaming = true;
    m_firstEventAt = now;
    m_lastEventAt = now;
    m_softwareVersion = m_attempt->softwareVersion;
    // Callers name the first call of a stream each time that they resume it.
    const auto &firstCall = m_call.lastEventId ? m_call.resumedCall : m_call.id;
    if (m_route.kind.isResumable && !firstCall.empty()) {
        m_forwarder.m_dependencies.streamOrigins.record(
            m_service, {forwarding::callDigest(firstCall), *m_softwareVersion, m_attempts.deadline() + m_forwarder.m_options.originMargin}, now);
    }
    m_streamStatus = m_attempt->head->status;
    m_exchange->startStream(m_streamStatus, m_attempt->headers);
    startPacing();
}

/// Whether a complete answer can be the rest of a stream that the caller has in part. One without a numbered event can be so only if it is empty
/// and nothing is known to be missing; anything else is the text of an error.
bool ForwardedCall::continuesStream(const CallAttempt &attempt) const
{
    const bool isEventMissing = m_isInsideEvent || (m_silentAttempt && isInsideEvent(*m_silentAttempt));
    return attempt.events.events() > 0 || !(attempt.events.hasUnnumbered() || isEventMissing);
}

/// Whether an endpoint has brought events and begun another one.
bool ForwardedCall::isInsideEvent(const CallAttempt &attempt)
{
    return attempt.isRelaying && attempt.events.events() > 0 && attempt.events.hasPartialEvent();
}

/// Remembers whether the last endpoint that brought events had begun another one.
void ForwardedCall::recordBreak(const CallAttempt &attempt)
{
    m_isInsideEvent = m_isInsideEvent || isInsideEvent(attempt);
}

/// @return why the attempt has not brought the answer, or nothing if it has
std::optional<SendResult> ForwardedCall::failureOf(const CallAttempt &attempt, net::SendOutcome outcome) const
{
    if (outcome == net::SendOutcome::NotSent) {
        return SendResult::NotSent;
    }
    if (outcome == net::SendOutcome::TimedOut) {
        return SendResult::Silent;
    }
    const bool isBodyDropped = attempt.body && attempt.body->hasGivenWay();
    if (!net::isComplete(outcome) || !attempt.head || isBodyDropped) {
        return SendResult::Lost;
    }
    const auto &head = *attempt.head;
    const bool isSuccess = head.status >= 200 && head.status < 300;
    // A refusal that names no call may be that of an earlier one, written once more.
    if (head.isNotRun && head.callId == m_call.id) {
        return head.isMisdirected ? SendResult::Misdirected : SendResult::Refused;
    }
    const bool belongsToCall = head.callId == m_call.id && (head.isAuthentic || !isSuccess);
    if (!belongsToCall || impliesNotRun(head.status)) {
        return SendResult::Lost;
    }
    // A stream that the caller has received in part cannot end with another status.
    if (head.status >= FirstFailureStatus || (m_isStreaming && !attempt.isRelaying)) {
        return SendResult::Failed;
    }
    const bool hasNothing = outcome == net::SendOutcome::CompleteByClose && attempt.events.events() == 0;
    const bool isTruncated = attempt.isRelaying && (attempt.events.hasPartialEvent() || hasNothing);
    if (isTruncated) {
        return SendResult::Lost;
    }
    return m_isStreaming && !continuesStream(attempt) ? std::optional(SendResult::Failed) : std::nullopt;
}

void ForwardedCall::handleAttemptEnd(std::uint64_t number, net::SendOutcome outcome)
{
    auto *attempt = findAttempt(number);
    if (attempt == nullptr) {
        return;
    }
    const auto failure = failureOf(*attempt, outcome);
    attempt->connectionError = attempt->pooled->connection->error();
    const bool isBrokenOff = failure == SendResult::Lost && attempt->isRelaying && outcome == net::SendOutcome::CompleteByClose;
    const bool mayBeCutOff = attempt->wasReadingPaused;
    if (!mayBeCutOff && (isBrokenOff || outcome == net::SendOutcome::ConnectionLost)) {
        recordEndpointLoss(*attempt);
    }
    if (!mayBeCutOff && outcome == net::SendOutcome::ConnectionLost) {
        m_forwarder.m_dependencies.pool.noteConnectionLost(attempt->choice.endpoint, attempt->head.has_value(), base::now());
    }
    // A stream that ends with its connection may have been broken off between two events.
    if (!failure && (outcome == net::SendOutcome::Complete || !attempt->isRelaying)) {
        recordProof(*attempt);
    }
    // The answer to this call may still come if another one was read.
    const bool isInStep = net::isComplete(outcome) && attempt->head && failure != SendResult::Lost;
    releaseConnection(*attempt, isInStep);
    if (failure) {
        recordBreak(*attempt);
    }
    if (failure && isSilentAttempt(number)) {
        dropSilentAttempt(*failure);
        return;
    }
    if (failure) {
        finishAttempt(*failure);
        return;
    }
    keepOnly(number);
    relayCompleteResponse();
}

void ForwardedCall::relayCompleteResponse()
{
    recordAnswer();
    const auto status = m_attempt->head->status;
    reportAttemptEnd(*m_attempt, routing::AttemptOutcome::Answered);
    m_forwarder.retryBudget(m_service).succeeded(base::now());
    if (!m_attempt->isRelaying) {
        respondToCaller({status, std::move(m_attempt->headers), takeBody(*m_attempt)});
        return;
    }
    if (!m_isStreaming) {
        m_exchange->startStream(status, m_attempt->headers);
    }
    m_exchange->writeChunk(m_attempt->events.takeUnnumbered());
    m_exchange->endStream();
    recordPace();
    finish("answered");
}

/// Resumed streams and those of slow callers are ignored, since the interruption would count as a gap of the engine.
void ForwardedCall::recordPace()
{
    constexpr std::uint64_t MinEvents = 8; ///< with fewer events the mean gap is unreliable
    if (!m_isEngine || m_attempts.sends() != 1 || m_events < MinEvents || m_wasReadingPaused) {
        return;
    }
    const auto slash = m_call.model.text().find('/');
    const auto gap = (m_lastEventAt - m_firstEventAt) / static_cast<std::int64_t>(m_events - 1);
    m_forwarder.m_tokenCosts.recordStream(qualifiedModelName(m_service, base::ModelName(m_call.model.text().substr(0, slash))), gap, m_lastEventAt);
}

routing::AttemptOutcome ForwardedCall::routerOutcome(const CallAttempt &attempt, SendResult end) const
{
    switch (end) {
    case SendResult::Misdirected: {
        const bool isOtherInstance = !attempt.head->instance.empty() && attempt.head->instance != attempt.choice.endpoint.text();
        return isOtherInstance ? routing::AttemptOutcome::Leaving : routing::AttemptOutcome::NotResident;
    }
    case SendResult::Refused:
        return routing::AttemptOutcome::Overloaded;
    case SendResult::Failed:
        return routing::AttemptOutcome::Failed;
    default:
        return attempt.wasReadingPaused ? routing::AttemptOutcome::Cancelled : routing::AttemptOutcome::Lost;
    }
}

void ForwardedCall::finishAttempt(SendResult end)
{
    const auto now = base::now();
    reportAttemptEnd(*m_attempt, routerOutcome(*m_attempt, end));
    if (m_silentAttempt) {
        returnToSilentAttempt(end);
        startReplacement(now, end == SendResult::NotSent);
        return;
    }
    const auto isRetryAllowed = end == SendResult::NotSent || m_forwarder.consumeRetryBudget(m_service, now);
    const auto step = m_attempts.afterSend(end, now, isRetryAllowed);
    logAttemptEnd(*m_attempt, end, isRetryAllowed, toString(step));
    if (step == NextStep::SendAgain) {
        m_excludedEndpoints.push_back(m_attempt->choice.endpoint);
        m_attempt.reset();
        selectEndpoint();
        return;
    }
    if (step == NextStep::RelayFailure && !m_isStreaming) {
        respondToCaller({m_attempt->head->status, std::move(m_attempt->headers), takeBody(*m_attempt)});
        return;
    }
    m_pendingRejection = RejectionReason::RejectedByEndpoints;
    if (end == SendResult::NotSent && step == NextStep::RejectNotRun && forwardToPeer()) {
        return;
    }
    rejectAfter(step);
}

/// Ids of the parts of the prompt, as callers send them.
std::string ForwardedCall::promptText() const
{
    std::string text;
    for (const auto &it : m_call.prompt) {
        std::array<char, 17> buf{};
        const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), it.id, 16).ptr;
        text += (text.empty() ? "" : ",") + std::string(buf.data(), end);
    }
    return text;
}

void ForwardedCall::logAttemptEnd(const CallAttempt &attempt, SendResult end, bool isRetryAllowed, std::string_view next) const
{
    telemetry::log(LogLevel::Info, "requests", "send ended",
                   {{"request", m_call.id},
                    {"route", m_route.name},
                    {"content", toString(m_contents.front())},
                    {"endpoint", attempt.choice.endpoint.text()},
                    {"end", toString(end)},
                    {"connection_error", toString(attempt.connectionError)},
                    {"status", attempt.head ? attempt.head->status : 0},
                    {"after_ms", base::millisecondsBetween(attempt.sentAt, base::now())},
                    {"writing_ms", attempt.hasFirstEvent ? base::millisecondsBetween(attempt.firstEventAt, base::now()) : -1},
                    {"prompt", promptText()},
                    {"sends", static_cast<int>(m_attempts.sends())},
                    {"budget", isRetryAllowed ? "open" : "used"},
                    {"next", next}});
    m_forwarder.m_dependencies.metrics.count("sends_ended_total{end=\"" + std::string(toString(end)) + "\"}");
}

void ForwardedCall::reportAttemptEnd(const CallAttempt &attempt, routing::AttemptOutcome end)
{
    m_forwarder.m_dependencies.router.noteEnded(attempt.choice.ticket, end, base::now());
}

void ForwardedCall::releaseConnection(CallAttempt &attempt, bool isComplete)
{
    if (!attempt.pooled) {
        return;
    }
    const auto pooled = std::exchange(attempt.pooled, std::nullopt);
    if (!isComplete) {
        pooled->connection->close();
    }
    m_forwarder.m_dependencies.pool.returnConnection(*pooled, attempt.head ? attempt.head->idleTimeout : std::nullopt, base::now());
}

void ForwardedCall::abandonAttempts(routing::AttemptOutcome end)
{
    for (auto *it : {&m_silentAttempt, &m_attempt}) {
        if (*it) {
            releaseConnection(**it, false);
            reportAttemptEnd(**it, end);
        }
    }
    m_silentAttempt.reset();
}

} // namespace turmericplank::gateway
