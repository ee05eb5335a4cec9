#include "transfer.hpp"

#include <algorithm>
#include <utility>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using forwarding::NextStep;
using forwarding::SendEnd;
using telemetry::LogLevel;

constexpr int FirstFailureStatus = 500;
constexpr std::uint32_t MostUrgency = 9;
constexpr std::uint32_t DeferredUrgency = 3; ///< added for calls whose objective lies behind DeferredObjective

/// Statuses that promise a caller that its call has not run; an endpoint that does not say so itself gives no such promise.
bool claimsNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

SendHead Transfer::sendHead(base::Time now) const
{
    SendHead head;
    head.instance = m_send->choice.endpoint;
    head.timeLeft = m_attempts.deadline() - now;
    head.urgency = std::min(m_route.rank + (isDeferred(m_route) ? DeferredUrgency : 0), MostUrgency);
    if (m_route.kind.isStreamed) {
        head.lastEvent = m_cursor.lastEvent();
    }
    return head;
}

base::Time Transfer::silenceDeadline(base::Time now) const
{
    const auto &options = m_forwarder.m_options;
    const bool mayGoOn = m_route.kind.isStreamed && m_route.kind.isResumable;
    if (!mayGoOn) {
        return m_attempts.deadline();
    }
    const bool isBeforeFirst = !m_send->hasFirstEvent;
    const auto objective = isBeforeFirst ? m_route.objective * options.firstEventShare : m_route.eventGapObjective * options.eventGapShare;
    const auto limit = std::max(std::chrono::duration_cast<base::Duration>(objective), options.shortestFirstEvent);
    return std::min(now + limit, m_attempts.deadline());
}

void Transfer::sendOn(const Loan &loan)
{
    m_send->loan = loan;
    const auto now = base::now();
    net::ClientRequest send;
    send.request = m_forwarder.m_parts.wire.makeSend(m_exchange->request(), sendHead(now));
    send.deadline = silenceDeadline(now);
    const auto self = Pointer(this);
    const auto number = m_send->number;
    send.onHeaders = [self, number](int status, const net::Headers &headers) {
        return self->onHeaders(number, status, headers);
    };
    send.onChunk = [self, number](std::string_view piece) {
        self->onChunk(number, piece);
    };
    send.onTimeout = [self, number] {
        return self->onTimeout(number);
    };
    send.onEnd = [self, number](net::SendOutcome outcome) {
        self->onEnd(number, outcome);
    };
    loan.connection->send(std::move(send));
}

/// An endpoint that is slow, not lost, still serves sooner than one that has to begin again.
bool Transfer::hasAlternative(base::Time now)
{
    auto request = routeRequest();
    request.excluded.push_back(m_send->choice.endpoint);
    const auto other = m_forwarder.m_parts.router.choose(request, now, m_forwarder.m_parts.random);
    return other && m_forwarder.m_parts.pool.hasRoom(other->endpoint) && now + other->expectedFirstToken < now + m_forwarder.m_options.shortestFirstEvent;
}

base::Time Transfer::onTimeout(std::uint64_t number)
{
    const auto now = base::now();
    const bool isCurrent = !m_isOver && m_send && m_send->number == number;
    if (!isCurrent || now >= m_attempts.deadline()) {
        return base::Time();
    }
    const bool mayMove = m_attempts.maySendAgain() && hasAlternative(now) && m_forwarder.hasBudget(m_service, now);
    return mayMove ? base::Time() : silenceDeadline(now);
}

net::HeaderAction Transfer::onHeaders(std::uint64_t number, int status, const net::Headers &headers)
{
    if (m_isOver || !m_send || m_send->number != number) {
        return net::HeaderAction::Accept;
    }
    auto head = m_forwarder.m_parts.wire.readAnswer(status, headers);
    if (!head.callId.empty() && head.callId != m_call.id) {
        telemetry::log(LogLevel::Warning, "requests", "skipped a late answer to another request",
                       {{"request", m_call.id}, {"answer_to", head.callId}, {"endpoint", m_send->choice.endpoint.text()}});
        return net::HeaderAction::Skip;
    }
    const bool isSuccess = status >= 200 && status < 300;
    const bool isOwn = head.callId == m_call.id && (head.isSealed || !isSuccess);
    m_send->isRelaying = isSuccess && isOwn && m_route.kind.isStreamed;
    m_send->headers = m_forwarder.m_parts.wire.answerHeaders(headers);
    m_send->head = std::move(head);
    return net::HeaderAction::Accept;
}

void Transfer::onChunk(std::uint64_t number, std::string_view piece)
{
    if (m_isOver || !m_send || m_send->number != number) {
        return;
    }
    if (!m_send->isRelaying) {
        m_send->body.append(piece);
        return;
    }
    auto whole = m_cursor.feed(piece);
    if (whole.empty()) {
        return;
    }
    const auto now = base::now();
    if (!m_send->hasFirstEvent) {
        m_send->hasFirstEvent = true;
        m_forwarder.m_parts.router.noteFirstToken(m_send->choice.ticket, now);
    }
    if (!m_isStreaming) {
        m_isStreaming = true;
        m_firstEventAt = now;
        m_lastEventAt = now;
        m_exchange->startStream(m_send->head->status, m_send->headers);
    }
    m_longestGap = std::max(m_longestGap, now - std::exchange(m_lastEventAt, now));
    m_send->loan->connection->setDeadline(silenceDeadline(now));
    m_exchange->writeChunk(std::move(whole));
}

void Transfer::onEnd(std::uint64_t number, net::SendOutcome outcome)
{
    if (m_isOver || !m_send || m_send->number != number) {
        return;
    }
    const bool isWhole = outcome == net::SendOutcome::Complete && m_send->head;
    releaseConnection(isWhole);
    if (isWhole) {
        endWhole();
        return;
    }
    switch (outcome) {
    case net::SendOutcome::NotSent:
        endSend(SendEnd::NotSent);
        break;
    case net::SendOutcome::TimedOut:
        endSend(SendEnd::Silent);
        break;
    default:
        endSend(SendEnd::Lost);
        break;
    }
}

void Transfer::endWhole()
{
    const auto &head = *m_send->head;
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (head.isNotRun) {
        endSend(head.isMisdirected ? SendEnd::Misdirected : SendEnd::Refused);
        return;
    }
    const bool isOwn = head.callId == m_call.id && (head.isSealed || !isSuccess);
    if (!isOwn) {
        endSend(SendEnd::Lost);
        return;
    }
    if (head.status >= FirstFailureStatus || claimsNotRun(head.status)) {
        endSend(claimsNotRun(head.status) ? SendEnd::Lost : SendEnd::Failed);
        return;
    }
    if (m_send->isRelaying) {
        if (m_cursor.hasPartialEvent()) {
            endSend(SendEnd::Lost);
            return;
        }
        noteRouterEnd(routing::AttemptEnd::Answered);
        m_forwarder.budget(m_service).succeeded(base::now());
        if (!m_isStreaming) {
            m_exchange->startStream(head.status, m_send->headers);
        }
        m_exchange->endStream();
        notePace();
        finish("answered");
        return;
    }
    noteRouterEnd(routing::AttemptEnd::Answered);
    m_forwarder.budget(m_service).succeeded(base::now());
    answer({head.status, std::move(m_send->headers), std::move(m_send->body)});
}

/// A stream that was resumed had another pause than its engine's.
void Transfer::notePace()
{
    constexpr std::uint64_t LeastEvents = 8; ///< below, the mean gap says little
    const auto events = m_cursor.events();
    if (!m_isEngine || m_attempts.sends() != 1 || events < LeastEvents) {
        return;
    }
    const auto slash = m_call.model.text().find('/');
    const auto gap = (m_lastEventAt - m_firstEventAt) / static_cast<std::int64_t>(events - 1);
    m_forwarder.m_pace.note(workName(m_service, base::ModelName(m_call.model.text().substr(0, slash))), gap, m_lastEventAt);
}

routing::AttemptEnd Transfer::attemptEnd(SendEnd end) const
{
    switch (end) {
    case SendEnd::Misdirected: {
        const bool isOther = !m_send->head->instance.empty() && m_send->head->instance != m_send->choice.endpoint.text();
        return isOther ? routing::AttemptEnd::Leaving : routing::AttemptEnd::NotResident;
    }
    case SendEnd::Refused:
        return routing::AttemptEnd::Overloaded;
    case SendEnd::Failed:
        return routing::AttemptEnd::Failed;
    default:
        return routing::AttemptEnd::Lost;
    }
}

void Transfer::endSend(SendEnd end)
{
    const auto now = base::now();
    noteRouterEnd(attemptEnd(end));
    const auto isRetryAllowed = end == SendEnd::NotSent || m_forwarder.mayRetry(m_service, now);
    const auto step = m_attempts.afterSend(end, now, isRetryAllowed);
    telemetry::log(LogLevel::Info, "requests", "send ended",
                   {{"request", m_call.id},
                    {"route", m_route.name},
                    {"endpoint", m_send->choice.endpoint.text()},
                    {"end", toString(end)},
                    {"status", m_send->head ? m_send->head->status : 0},
                    {"after_ms", base::millisecondsBetween(m_send->sentAt, now)},
                    {"sends", static_cast<int>(m_attempts.sends())},
                    {"budget", isRetryAllowed ? "open" : "used"},
                    {"next", toString(step)}});
    m_forwarder.m_parts.metrics.count("sends_ended_total{end=\"" + std::string(toString(end)) + "\"}");
    if (step == NextStep::SendAgain) {
        m_excluded.push_back(m_send->choice.endpoint);
        m_send.reset();
        m_cursor.restart();
        place();
        return;
    }
    if (step == NextStep::RelayFailure) {
        answer({m_send->head->status, std::move(m_send->headers), std::move(m_send->body)});
        return;
    }
    m_waitsFor = RefusalReason::Refused;
    give(step);
}

void Transfer::noteRouterEnd(routing::AttemptEnd end)
{
    const auto now = base::now();
    m_forwarder.m_parts.router.noteEnded(m_send->choice.ticket, end, now);
}

void Transfer::releaseConnection(bool isWhole)
{
    if (!m_send || !m_send->loan) {
        return;
    }
    const auto loan = std::exchange(m_send->loan, std::nullopt);
    if (!isWhole) {
        loan->connection->close();
    }
    m_forwarder.m_parts.pool.giveBack(*loan, m_send->head ? m_send->head->idleTimeout : std::nullopt, base::now());
}

} // namespace turmericplank::gateway
