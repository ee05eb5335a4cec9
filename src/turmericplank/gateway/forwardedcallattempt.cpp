#include "forwardedcall.hpp"

#include <algorithm>
#include <utility>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using forwarding::NextStep;
using forwarding::SendResult;
using telemetry::LogLevel;

constexpr int FirstFailureStatus = 500;
constexpr std::uint32_t MaxUrgency = 9;
constexpr std::uint32_t DeferrableUrgencyPenalty = 3; ///< added to the rank of deferrable routes; calls with higher numbers are admitted later

/// Whether a caller concludes from the status that its call has not run. Such a status is not relayed from an endpoint that
/// does not state this itself.
bool impliesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

AttemptHeaders ForwardedCall::attemptHeaders(base::Time now) const
{
    AttemptHeaders head;
    head.expectedInstance = m_attempt->choice.endpoint;
    head.remainingTime = m_attempts.deadline() - now;
    head.urgency = std::min(m_route.rank + (isDeferrable(m_route) ? DeferrableUrgencyPenalty : 0), MaxUrgency);
    if (m_route.kind.isStreamed) {
        head.lastEventId = m_eventCursor.lastEvent();
    }
    return head;
}

base::Time ForwardedCall::silenceDeadline(base::Time now) const
{
    const auto &options = m_forwarder.m_options;
    const bool canResume = m_route.kind.isStreamed && m_route.kind.isResumable;
    if (!canResume) {
        return m_attempts.deadline();
    }
    const bool isBeforeFirst = !m_attempt->hasFirstEvent;
    const auto objective = isBeforeFirst ? m_route.objective * options.firstEventTimeoutFactor : m_route.eventGapObjective * options.eventGapTimeoutFactor;
    const auto limit = std::max(std::chrono::duration_cast<base::Duration>(objective), options.minEventTimeout);
    return std::min(now + limit, m_attempts.deadline());
}

void ForwardedCall::sendRequest(const PooledConnection &pooled)
{
    m_attempt->pooled = pooled;
    const auto now = base::now();
    net::ClientRequest send;
    send.request = m_forwarder.m_dependencies.wire.makeAttemptRequest(m_exchange->request(), attemptHeaders(now));
    send.deadline = silenceDeadline(now);
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
    pooled.connection->send(std::move(send));
}

/// Whether another endpoint has a free connection and is expected to send its first event soon. Otherwise the call stays: an
/// endpoint that is slow, not lost, still answers earlier than one that must start the call from the beginning.
bool ForwardedCall::hasAlternative(base::Time now)
{
    auto request = routeRequest();
    request.excluded.push_back(m_attempt->choice.endpoint);
    const auto other = m_forwarder.m_dependencies.router.choose(request, now, m_forwarder.m_dependencies.random);
    return other && m_forwarder.m_dependencies.pool.hasFreeConnection(other->endpoint)
        && now + other->expectedFirstToken < now + m_forwarder.m_options.minEventTimeout;
}

base::Time ForwardedCall::handleSilence(std::uint64_t number)
{
    const auto now = base::now();
    const bool isCurrent = !m_isFinished && m_attempt && m_attempt->number == number;
    if (!isCurrent || now >= m_attempts.deadline()) {
        return base::Time();
    }
    const bool mayRetry = m_attempts.maySendAgain() && hasAlternative(now) && m_forwarder.hasRetryBudget(m_service, now);
    return mayRetry ? base::Time() : silenceDeadline(now);
}

/// Applies what an endpoint states about itself beside its response. It holds even if the response itself cannot be used, but not
/// if another instance has responded.
void ForwardedCall::applyEndpointNotices(const ResponseHead &head)
{
    const auto &endpoint = m_attempt->choice.endpoint;
    const bool isOtherInstance = !head.instance.empty() && head.instance != endpoint.text();
    if (isOtherInstance || !m_attempt->pooled) {
        return;
    }
    const auto now = base::now();
    auto &dependencies = m_forwarder.m_dependencies;
    const DrainingEndpoint incarnation{endpoint, m_attempt->pooled->incarnation};
    if (head.isLeaving && dependencies.siteState.noteLeavingAnswer(incarnation, now)) {
        telemetry::log(LogLevel::Info, "endpoints", "leaving by its own answer",
                       {{"endpoint", endpoint.text()}, {"incarnation", incarnation.incarnation.value()}, {"request", m_call.id}});
        dependencies.onEndpointLeaving();
    }
    if (head.pause) {
        dependencies.router.notePause(endpoint, now + *head.pause);
        dependencies.metrics.count("endpoint_pauses_total");
        telemetry::log(LogLevel::Info, "endpoints", "asks for a pause",
                       {{"endpoint", endpoint.text()}, {"pause_ms", base::inMilliseconds(*head.pause)}, {"request", m_call.id}});
    }
}

net::HeaderAction ForwardedCall::handleResponseHead(std::uint64_t number, int status, const net::Headers &headers)
{
    if (m_isFinished || !m_attempt || m_attempt->number != number) {
        return net::HeaderAction::Accept;
    }
    auto head = m_forwarder.m_dependencies.wire.decodeResponseHead(status, headers);
    if (!head.callId.empty() && head.callId != m_call.id) {
        telemetry::log(LogLevel::Warning, "requests", "skipped a late answer to another request",
                       {{"request", m_call.id}, {"answer_to", head.callId}, {"endpoint", m_attempt->choice.endpoint.text()}});
        return net::HeaderAction::Skip;
    }
    applyEndpointNotices(head);
    const bool isSuccess = status >= 200 && status < 300;
    const bool belongsToCall = head.callId == m_call.id && (head.isAuthentic || !isSuccess);
    m_attempt->isRelaying = isSuccess && belongsToCall && m_route.kind.isStreamed;
    m_attempt->headers = m_forwarder.m_dependencies.wire.forwardedHeaders(headers);
    m_attempt->head = std::move(head);
    return net::HeaderAction::Accept;
}

void ForwardedCall::handleBodyChunk(std::uint64_t number, std::string_view chunk)
{
    if (m_isFinished || !m_attempt || m_attempt->number != number) {
        return;
    }
    if (!m_attempt->isRelaying) {
        m_attempt->body.append(chunk);
        return;
    }
    auto events = m_eventCursor.feed(chunk);
    if (events.empty()) {
        return;
    }
    const auto now = base::now();
    if (!m_attempt->hasFirstEvent) {
        m_attempt->hasFirstEvent = true;
        m_forwarder.m_dependencies.router.noteFirstToken(m_attempt->choice.ticket, now);
    }
    if (!m_isStreaming) {
        m_isStreaming = true;
        m_firstEventAt = now;
        m_lastEventAt = now;
        m_exchange->startStream(m_attempt->head->status, m_attempt->headers);
    }
    m_maxEventGap = std::max(m_maxEventGap, now - std::exchange(m_lastEventAt, now));
    m_attempt->pooled->connection->setDeadline(silenceDeadline(now));
    m_exchange->writeChunk(std::move(events));
}

void ForwardedCall::handleAttemptEnd(std::uint64_t number, net::SendOutcome outcome)
{
    if (m_isFinished || !m_attempt || m_attempt->number != number) {
        return;
    }
    const bool isComplete = outcome == net::SendOutcome::Complete && m_attempt->head;
    releaseConnection(isComplete);
    if (isComplete) {
        handleCompleteResponse();
        return;
    }
    switch (outcome) {
    case net::SendOutcome::NotSent:
        finishAttempt(SendResult::NotSent);
        break;
    case net::SendOutcome::TimedOut:
        finishAttempt(SendResult::Silent);
        break;
    default:
        finishAttempt(SendResult::Lost);
        break;
    }
}

void ForwardedCall::handleCompleteResponse()
{
    const auto &head = *m_attempt->head;
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (head.isNotRun) {
        finishAttempt(head.isMisdirected ? SendResult::Misdirected : SendResult::Refused);
        return;
    }
    const bool belongsToCall = head.callId == m_call.id && (head.isAuthentic || !isSuccess);
    if (!belongsToCall) {
        finishAttempt(SendResult::Lost);
        return;
    }
    if (head.status >= FirstFailureStatus || impliesNotRun(head.status)) {
        finishAttempt(impliesNotRun(head.status) ? SendResult::Lost : SendResult::Failed);
        return;
    }
    if (m_attempt->isRelaying) {
        if (m_eventCursor.hasPartialEvent()) {
            finishAttempt(SendResult::Lost);
            return;
        }
        reportAttemptEnd(routing::AttemptOutcome::Answered);
        m_forwarder.retryBudget(m_service).succeeded(base::now());
        if (!m_isStreaming) {
            m_exchange->startStream(head.status, m_attempt->headers);
        }
        m_exchange->endStream();
        recordPace();
        finish("answered");
        return;
    }
    reportAttemptEnd(routing::AttemptOutcome::Answered);
    m_forwarder.retryBudget(m_service).succeeded(base::now());
    respondToCaller({head.status, std::move(m_attempt->headers), std::move(m_attempt->body)});
}

/// Resumed streams are ignored, since the interruption would count as a gap of the engine.
void ForwardedCall::recordPace()
{
    constexpr std::uint64_t MinEvents = 8; ///< with fewer events the mean gap is unreliable
    const auto events = m_eventCursor.events();
    if (!m_isEngine || m_attempts.sends() != 1 || events < MinEvents) {
        return;
    }
    const auto slash = m_call.model.text().find('/');
    const auto gap = (m_lastEventAt - m_firstEventAt) / static_cast<std::int64_t>(events - 1);
    m_forwarder.m_tokenCosts.recordStream(qualifiedModelName(m_service, base::ModelName(m_call.model.text().substr(0, slash))), gap, m_lastEventAt);
}

routing::AttemptOutcome ForwardedCall::routerOutcome(SendResult end) const
{
    switch (end) {
    case SendResult::Misdirected: {
        const bool isOtherInstance = !m_attempt->head->instance.empty() && m_attempt->head->instance != m_attempt->choice.endpoint.text();
        return isOtherInstance ? routing::AttemptOutcome::Leaving : routing::AttemptOutcome::NotResident;
    }
    case SendResult::Refused:
        return routing::AttemptOutcome::Overloaded;
    case SendResult::Failed:
        return routing::AttemptOutcome::Failed;
    default:
        return routing::AttemptOutcome::Lost;
    }
}

void ForwardedCall::finishAttempt(SendResult end)
{
    const auto now = base::now();
    reportAttemptEnd(routerOutcome(end));
    const auto isRetryAllowed = end == SendResult::NotSent || m_forwarder.consumeRetryBudget(m_service, now);
    const auto step = m_attempts.afterSend(end, now, isRetryAllowed);
    telemetry::log(LogLevel::Info, "requests", "send ended",
                   {{"request", m_call.id},
                    {"route", m_route.name},
                    {"endpoint", m_attempt->choice.endpoint.text()},
                    {"end", toString(end)},
                    {"status", m_attempt->head ? m_attempt->head->status : 0},
                    {"after_ms", base::millisecondsBetween(m_attempt->sentAt, now)},
                    {"sends", static_cast<int>(m_attempts.sends())},
                    {"budget", isRetryAllowed ? "open" : "used"},
                    {"next", toString(step)}});
    m_forwarder.m_dependencies.metrics.count("sends_ended_total{end=\"" + std::string(toString(end)) + "\"}");
    if (step == NextStep::SendAgain) {
        m_excludedEndpoints.push_back(m_attempt->choice.endpoint);
        m_attempt.reset();
        m_eventCursor.restart();
        selectEndpoint();
        return;
    }
    if (step == NextStep::RelayFailure && !m_isStreaming) {
        respondToCaller({m_attempt->head->status, std::move(m_attempt->headers), std::move(m_attempt->body)});
        return;
    }
    m_pendingRejection = RejectionReason::RejectedByEndpoints;
    rejectAfter(step);
}

void ForwardedCall::reportAttemptEnd(routing::AttemptOutcome end)
{
    const auto now = base::now();
    m_forwarder.m_dependencies.router.noteEnded(m_attempt->choice.ticket, end, now);
}

void ForwardedCall::releaseConnection(bool isComplete)
{
    if (!m_attempt || !m_attempt->pooled) {
        return;
    }
    const auto pooled = std::exchange(m_attempt->pooled, std::nullopt);
    if (!isComplete) {
        pooled->connection->close();
    }
    m_forwarder.m_dependencies.pool.returnConnection(*pooled, m_attempt->head ? m_attempt->head->idleTimeout : std::nullopt, base::now());
}

} // namespace turmericplank::gateway
