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
constexpr auto DeferredObjective = std::chrono::milliseconds(1000);

/// Statuses that promise a caller that its call has not run; an endpoint that does not say so itself gives no such promise.
bool claimsNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isDeferred(const routes::Route &route)
{
    return route.objective > DeferredObjective;
}

base::Time finalDeadline(const routes::Route &route, const Call &call, base::Time now)
{
    const auto timeout = route.timeout.count() > 0 ? route.timeout : base::Duration(std::chrono::minutes(1));
    return now + std::min(timeout, call.patience.value_or(timeout));
}

std::int64_t millisecondsBetween(base::Time from, base::Time to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

} // namespace

Transfer::Transfer(Forwarder &forwarder, net::ExchangePointer exchange, Call call, std::shared_ptr<const routes::RouteTable> routes, const routes::Route &route,
                   base::Time now)
    : m_forwarder(forwarder)
    , m_inProgress(forwarder.m_inProgress)
    , m_exchange(std::move(exchange))
    , m_call(std::move(call))
    , m_routes(std::move(routes))
    , m_route(route)
    , m_service(routes::chooseService(route, m_call.id))
    , m_arrivedAt(now)
    , m_attempts(route.kind, std::max(1U, route.sendLimit), finalDeadline(route, m_call, now))
    , m_cursor(m_call.lastEvent)
    , m_timer(forwarder.m_parts.context)
{
    const auto &services = m_routes->configuration().services;
    const auto spec = services.find(m_service);
    m_isEngine = spec != services.end() && spec->second.engine;
    m_work = workName(m_service, m_isEngine ? m_call.model : base::ModelName());
    ++*m_inProgress;
}

Transfer::~Transfer()
{
    --*m_inProgress;
}

void Transfer::start()
{
    m_exchange->setOnClosed([self = Pointer(this)] { self->onCallerGone(); });
    m_forwarder.countDemand(m_service, m_call);
    watchDeadline();
    place();
}

void Transfer::retry()
{
    if (!m_isOver) {
        place();
    }
}

void Transfer::abandon()
{
    if (!m_isOver) {
        releaseConnection(false);
        m_exchange->abort();
        finish("abandoned");
    }
}

routing::RouteRequest Transfer::routeRequest() const
{
    routing::RouteRequest request;
    request.model = m_work;
    request.priority = m_route.rank == 0 && !isDeferred(m_route) ? base::Priority::Urgent : base::Priority::Normal;
    request.deadline = m_arrivedAt + std::max(m_route.objective, base::Duration(std::chrono::milliseconds(1)));
    request.prefixes = prefixesOf(m_work, m_call.prompt);
    request.promptTokens = m_call.promptTokens;
    request.answerTokens = m_call.answerTokens;
    request.excluded = m_excluded;
    return request;
}

void Transfer::place()
{
    const auto now = base::now();
    auto excluded = m_excluded;
    for (;;) {
        auto request = routeRequest();
        request.excluded = excluded;
        const auto choice = m_forwarder.m_parts.router.choose(request, now, m_forwarder.m_parts.random);
        if (!choice) {
            const bool isAbsent = choice.error().reason == routing::NoRouteReason::NotResident || choice.error().reason == routing::NoRouteReason::UnknownModel;
            park(isAbsent ? missingCause() : forwarding::WaitCause::Full);
            return;
        }
        if (isTooLateThere(*choice)) {
            park(forwarding::WaitCause::Full);
            return;
        }
        if (m_forwarder.m_parts.pool.hasRoom(choice->endpoint)) {
            unlink();
            m_forwarder.m_parts.router.noteSent(*choice, request, now);
            borrow(*choice);
            return;
        }
        excluded.push_back(choice->endpoint);
    }
}

forwarding::WaitCause Transfer::missingCause() const
{
    const auto &model = m_call.model.text();
    const auto slash = model.find('/');
    const bool isAdapter = slash != std::string::npos;
    const bool hasBase = isAdapter && m_forwarder.m_parts.router.replicas(workName(m_service, base::ModelName(model.substr(0, slash)))) > 0;
    return hasBase ? forwarding::WaitCause::AdapterMissing : forwarding::WaitCause::ModelMissing;
}

/// A stream that has begun goes on wherever it can.
bool Transfer::isTooLateThere(const routing::Choice &choice) const
{
    const bool isFirstSend = m_isEngine && m_attempts.sends() == 0;
    return isFirstSend && forwarding::comesTooLate(choice.expectedFirstToken, m_route.objective, m_forwarder.m_options.wait);
}

void Transfer::park(forwarding::WaitCause cause)
{
    const auto now = base::now();
    const bool isMissing = cause != forwarding::WaitCause::Full;
    m_waitCause = cause;
    m_waitsFor = isMissing ? RefusalReason::NotResident : RefusalReason::NoEndpoint;
    m_parkedSince = m_parkedSince.value_or(now);
    if (!is_linked()) {
        m_forwarder.m_parked->push_back(*this);
        if (isMissing) {
            m_forwarder.m_parts.onNotResident(m_service, m_call.model);
        }
    }
    if (now >= *m_parkedSince + forwarding::longestWait(cause, m_route.objective, m_forwarder.m_options.wait)) {
        give(m_attempts.giveUp(now));
    }
}

void Transfer::borrow(const routing::Choice &choice)
{
    m_send.emplace();
    m_send->number = ++m_sendNumber;
    m_send->choice = choice;
    m_send->sentAt = base::now();
    m_attempts.noteSend();
    telemetry::log(LogLevel::Debug, "requests", "sends",
                   {{"request", m_call.id}, {"endpoint", choice.endpoint.text()}, {"reason", toString(choice.reason)}, {"work", m_work.text()}});
    const bool isOnce = !m_route.kind.mayRunAgain();
    m_forwarder.m_parts.pool.borrow(
        choice.endpoint, isOnce, m_send->sentAt,
        [self = Pointer(this), number = m_send->number](tl::expected<Loan, LoanFailure> loan) { self->onLoan(number, std::move(loan)); });
}

void Transfer::onLoan(std::uint64_t number, tl::expected<Loan, LoanFailure> loan)
{
    const bool isCurrent = !m_isOver && m_send && m_send->number == number;
    if (!isCurrent) {
        if (loan) {
            m_forwarder.m_parts.pool.giveBack(*loan, std::nullopt, base::now());
        }
        return;
    }
    if (!loan) {
        endSend(SendEnd::NotSent);
        return;
    }
    sendOn(*loan);
}

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
    net::ConnectionSend send;
    send.request = m_forwarder.m_parts.wire.makeSend(m_exchange->request(), sendHead(now));
    send.deadline = silenceDeadline(now);
    const auto self = Pointer(this);
    const auto number = m_send->number;
    send.onHead = [self, number](int status, const net::Headers &headers) {
        return self->onHead(number, status, headers);
    };
    send.onPiece = [self, number](std::string_view piece) {
        self->onPiece(number, piece);
    };
    send.onSilent = [self, number] {
        return self->onSilent(number);
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

base::Time Transfer::onSilent(std::uint64_t number)
{
    const auto now = base::now();
    const bool isCurrent = !m_isOver && m_send && m_send->number == number;
    if (!isCurrent || now >= m_attempts.deadline()) {
        return base::Time();
    }
    const bool mayMove = m_attempts.maySendAgain() && hasAlternative(now) && m_forwarder.hasBudget(m_service, now);
    return mayMove ? base::Time() : silenceDeadline(now);
}

net::HeadVerdict Transfer::onHead(std::uint64_t number, int status, const net::Headers &headers)
{
    if (m_isOver || !m_send || m_send->number != number) {
        return net::HeadVerdict::Take;
    }
    auto head = m_forwarder.m_parts.wire.readAnswer(status, headers);
    if (!head.callId.empty() && head.callId != m_call.id) {
        telemetry::log(LogLevel::Warning, "requests", "skipped a late answer to another request",
                       {{"request", m_call.id}, {"answer_to", head.callId}, {"endpoint", m_send->choice.endpoint.text()}});
        return net::HeadVerdict::Skip;
    }
    const bool isSuccess = status >= 200 && status < 300;
    const bool isOwn = head.callId == m_call.id && (head.isSealed || !isSuccess);
    m_send->isRelaying = isSuccess && isOwn && m_route.kind.isStreamed;
    m_send->headers = m_forwarder.m_parts.wire.answerHeaders(headers);
    m_send->head = std::move(head);
    return net::HeadVerdict::Take;
}

void Transfer::onPiece(std::uint64_t number, std::string_view piece)
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
    m_exchange->writePiece(std::move(whole));
}

void Transfer::onEnd(std::uint64_t number, net::SendOutcome outcome)
{
    if (m_isOver || !m_send || m_send->number != number) {
        return;
    }
    const bool isWhole = outcome == net::SendOutcome::Whole && m_send->head;
    releaseConnection(isWhole);
    if (isWhole) {
        endWhole();
        return;
    }
    switch (outcome) {
    case net::SendOutcome::NotSent:
        endSend(SendEnd::NotSent);
        break;
    case net::SendOutcome::Silent:
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
        finish("answered");
        return;
    }
    noteRouterEnd(routing::AttemptEnd::Answered);
    m_forwarder.budget(m_service).succeeded(base::now());
    answer({head.status, std::move(m_send->headers), std::move(m_send->body)});
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
                    {"after_ms", millisecondsBetween(m_send->sentAt, now)},
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

void Transfer::answer(net::HttpResponse response)
{
    const auto outcome = response.status < FirstFailureStatus ? "answered" : "endpoint_failure";
    m_exchange->respond(std::move(response));
    finish(outcome);
}

void Transfer::give(NextStep step)
{
    switch (step) {
    case NextStep::RefuseNotRun:
        refuse(m_waitsFor);
        break;
    case NextStep::FailTimedOut:
        refuse(RefusalReason::TimedOut);
        break;
    default:
        refuse(RefusalReason::Unknown);
        break;
    }
}

void Transfer::refuse(RefusalReason reason)
{
    const auto now = base::now();
    Refusal refusal{reason, std::nullopt};
    if (!m_attempts.mayHaveRun()) {
        const auto relief = forwarding::expectedRelief(m_waitCause, m_isEngine, m_forwarder.m_options.wait);
        refusal.retryAfter = forwarding::retryAdvice(relief, m_attempts.deadline() - now, m_forwarder.m_options.advice, m_forwarder.m_parts.random);
    }
    const auto lastRead = m_forwarder.m_parts.fleet.lastRead();
    telemetry::log(LogLevel::Warning, "requests", "refused",
                   {{"request", m_call.id},
                    {"route", m_route.name},
                    {"work", m_work.text()},
                    {"reason", toString(reason)},
                    {"has_run", m_attempts.mayHaveRun() ? "unknown" : "no"},
                    {"sends", static_cast<int>(m_attempts.sends())},
                    {"after_ms", millisecondsBetween(m_arrivedAt, now)},
                    {"events", m_cursor.events()},
                    {"revision", m_routes->configuration().revision.value()},
                    {"endpoints_age_ms", lastRead ? millisecondsBetween(*lastRead, now) : -1},
                    {"retry_after_ms", refusal.retryAfter ? base::inMilliseconds(*refusal.retryAfter) : -1.0}});
    if (m_isStreaming) {
        // A stream that ends early must not look whole.
        m_exchange->abort();
    } else {
        m_exchange->respond(m_forwarder.m_parts.wire.makeRefusal(refusal));
    }
    finish(toString(reason));
}

void Transfer::onCallerGone()
{
    if (m_isOver) {
        return;
    }
    if (m_send) {
        releaseConnection(false);
        noteRouterEnd(routing::AttemptEnd::Cancelled);
    }
    telemetry::log(LogLevel::Info, "requests", "caller left",
                   {{"request", m_call.id},
                    {"route", m_route.name},
                    {"after_ms", millisecondsBetween(m_arrivedAt, base::now())},
                    {"endpoint", m_send ? m_send->choice.endpoint.text() : "none"}});
    finish("caller_left");
}

void Transfer::watchDeadline()
{
    m_timer.expires_after(m_attempts.deadline() - base::now());
    m_timer.async_wait([self = Pointer(this)](boost::system::error_code ec) {
        if (!ec && !self->m_isOver) {
            self->onDeadline();
        }
    });
}

void Transfer::onDeadline()
{
    const auto now = base::now();
    if (now < m_attempts.deadline()) {
        watchDeadline();
        return;
    }
    if (!m_send) {
        give(m_attempts.giveUp(now));
        return;
    }
    const bool isSent = m_send->loan.has_value();
    releaseConnection(false);
    noteRouterEnd(isSent ? routing::AttemptEnd::Lost : routing::AttemptEnd::Cancelled);
    give(m_attempts.afterSend(isSent ? SendEnd::Silent : SendEnd::NotSent, now, false));
}

void Transfer::finish(std::string_view outcome)
{
    const auto guard = Pointer(this);
    m_isOver = true;
    m_timer.cancel();
    unlink();
    const auto now = base::now();
    const auto total = now - m_arrivedAt;
    const auto first = m_isStreaming ? m_firstEventAt - m_arrivedAt : total;
    auto &metrics = m_forwarder.m_parts.metrics;
    metrics.count("requests_total{outcome=\"" + std::string(outcome) + "\"}");
    metrics.observe("request_first_answer_seconds", std::chrono::duration<double>(first).count());
    metrics.observe("request_seconds", std::chrono::duration<double>(total).count());
    if (outcome != "answered" || m_forwarder.m_answeredLines.take(now)) {
        logEnd(outcome, now);
    }
    m_send.reset();
    m_exchange.reset();
}

void Transfer::logEnd(std::string_view outcome, base::Time now) const
{
    const auto total = now - m_arrivedAt;
    const auto first = m_isStreaming ? m_firstEventAt - m_arrivedAt : total;
    const auto milliseconds = [](base::Duration it) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
    };
    telemetry::log(LogLevel::Info, "requests", "ended",
                   {{"request", m_call.id},
                    {"route", m_route.name},
                    {"work", m_work.text()},
                    {"endpoint", m_send ? m_send->choice.endpoint.text() : "none"},
                    {"outcome", outcome},
                    {"sends", static_cast<int>(m_attempts.sends())},
                    {"first_ms", milliseconds(first)},
                    {"gap_ms", milliseconds(m_longestGap)},
                    {"total_ms", milliseconds(total)}});
}

} // namespace turmericplank::gateway
