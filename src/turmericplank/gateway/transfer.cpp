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
constexpr auto DeferredObjective = std::chrono::milliseconds(1000);

base::Time finalDeadline(const routes::Route &route, const Call &call, base::Time now)
{
    const auto timeout = route.timeout.count() > 0 ? route.timeout : base::Duration(std::chrono::minutes(1));
    return now + std::min(timeout, call.patience.value_or(timeout));
}

} // namespace

bool isDeferred(const routes::Route &route)
{
    return route.objective > DeferredObjective;
}

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
    if (!isFirstSend) {
        return false;
    }
    const auto &wait = m_forwarder.m_options.wait;
    const auto patience = forwarding::callerPatience(m_route.objective, m_route.eventGapObjective, wait);
    return forwarding::comesTooLate(choice.expectedFirstToken, std::min(patience, m_attempts.deadline() - base::now()), wait);
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
                    {"after_ms", base::millisecondsBetween(m_arrivedAt, now)},
                    {"events", m_cursor.events()},
                    {"revision", m_routes->configuration().revision.value()},
                    {"endpoints_age_ms", lastRead ? base::millisecondsBetween(*lastRead, now) : -1},
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
                    {"after_ms", base::millisecondsBetween(m_arrivedAt, base::now())},
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
    if (outcome != "answered" || m_forwarder.m_answeredLines.tryAcquire(now)) {
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
