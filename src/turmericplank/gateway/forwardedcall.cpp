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
constexpr auto MinDeferrableObjective = std::chrono::milliseconds(1000);
constexpr std::size_t MinRanksToYield = 3; ///< different priorities of a service's routes, from which its calls are ordered by whether they are late

base::Time finalDeadline(const routes::Route &route, const Call &call, const std::optional<CallLimits> &limits, base::Time now)
{
    const auto timeout = route.timeout.count() > 0 ? route.timeout : base::Duration(std::chrono::minutes(1));
    const auto deadline = now + std::min(timeout, call.callerTimeout.value_or(timeout));
    return limits ? std::min(deadline, limits->deadline) : deadline;
}

std::uint32_t maxSends(const routes::Route &route, const std::optional<CallLimits> &limits)
{
    const auto n = std::max(1U, route.sendLimit);
    return limits ? std::min(n, limits->maxSends) : n;
}

} // namespace

bool isDeferrable(const routes::Route &route)
{
    return route.objective > MinDeferrableObjective;
}

/// A stream that is resumed goes on at the service at which it began.
base::ServiceName chosenService(const routes::Route &route, const Call &call)
{
    return routes::chooseService(route, call.resumedCall.empty() ? call.id : call.resumedCall);
}

ForwardedCall::ForwardedCall(Forwarder &forwarder, net::ExchangePointer exchange, Call call, CallContext context, const std::optional<CallLimits> &limits,
                             base::Time now)
    : m_forwarder(forwarder)
    , m_callsInProgress(forwarder.m_callsInProgress)
    , m_exchange(std::move(exchange))
    , m_call(std::move(call))
    , m_contents(contentFingerprints(m_call, m_exchange->request()))
    , m_routes(std::move(context.routes))
    , m_route(context.route)
    , m_account(context.account)
    , m_service(chosenService(m_route, m_call))
    , m_arrivedAt(now)
    , m_attempts(m_route.kind, maxSends(m_route, limits), finalDeadline(m_route, m_call, limits, now))
    , m_lastEvent(m_call.lastEventId)
    , m_deadlineTimer(forwarder.m_dependencies.context)
    , m_overlapTimer(forwarder.m_dependencies.context)
    , m_isFromPeer(limits.has_value())
{
    const auto &services = m_routes->configuration().services;
    const auto spec = services.find(m_service);
    m_firstAttemptAt = now - forwarder.m_callAges.note(m_route.name, m_call.callerTimeout, now);
    m_isEngine = spec != services.end() && spec->second.engine;
    m_mayYield = m_isEngine && m_routes->rankCount(m_service) >= MinRanksToYield;
    m_qualifiedModel = qualifiedModelName(m_service, m_isEngine ? m_call.model : base::ModelName());
    m_parts = sharedPartFingerprints(m_service, m_call.prompt);
    ++*m_callsInProgress;
}

ForwardedCall::~ForwardedCall()
{
    --*m_callsInProgress;
}

void ForwardedCall::start()
{
    m_exchange->setOnClosed([self = Pointer(this)] { self->handleCallerDisconnect(); });
    if (endIfCallerLeft()) {
        return;
    }
    if (!m_isFromPeer) {
        m_forwarder.recordDemand(m_service, m_call);
    }
    armDeadlineTimer();
    if (isResumption()) {
        findOrigin();
    } else {
        selectEndpoint();
    }
}

void ForwardedCall::retrySelection()
{
    if (!m_isFinished) {
        selectEndpoint();
    }
}

void ForwardedCall::abandon()
{
    if (!m_isFinished) {
        abandonAttempts(routing::AttemptOutcome::Cancelled);
        m_exchange->abort();
        finish("abandoned");
    }
}

routing::RouteRequest ForwardedCall::routeRequest() const
{
    routing::RouteRequest request;
    request.model = m_qualifiedModel;
    const bool isRankUrgent = m_mayYield || m_route.rank == 0;
    request.priority = isRankUrgent && !isDeferrable(m_route) && !m_isLate ? base::Priority::Urgent : base::Priority::Normal;
    request.deadline = m_arrivedAt + std::max(m_route.objective, base::Duration(std::chrono::milliseconds(1)));
    request.prefixes = promptPrefixes(m_qualifiedModel, m_call.prompt);
    request.promptTokens = m_call.promptTokens;
    request.answerTokens = m_call.maxAnswerTokens;
    request.excluded = m_excludedEndpoints;
    request.isRetry = m_attempts.sends() > 0;
    request.isNew = !request.isRetry && !m_waitingSince;
    request.softwareVersion = m_softwareVersion;
    return request;
}

/// A stream that its caller has received in part does not yield, whatever the age of its first call.
bool ForwardedCall::isExpectedLate(const routing::Choice &choice, base::Time now) const
{
    return m_mayYield && !m_lastEvent && forwarding::isExpectedLate(now - m_firstAttemptAt, choice.expectedFirstToken, m_route.objective);
}

/// Whether the call ends here because the daemon is stopping: it has not run, so that another daemon can take it with all of its time.
bool ForwardedCall::isLeftToOtherDaemons() const
{
    return m_forwarder.m_isRejectingNewCalls && !m_attempts.mayHaveRun() && !m_isStreaming && !m_silentAttempt;
}

void ForwardedCall::selectEndpoint()
{
    const auto now = base::now();
    if (isLeftToOtherDaemons()) {
        reject(RejectionReason::Draining);
        return;
    }
    if (isRefusedForCrashes() && !beginTrial()) {
        m_pendingRejection = RejectionReason::CrashesEndpoints;
        rejectAfter(m_attempts.finalStep(now));
        return;
    }
    auto excluded = m_excludedEndpoints;
    const auto &contact = m_forwarder.m_dependencies.pool.contact();
    // Another daemon may reach an endpoint that this one does not reach, also one at which an earlier attempt has failed.
    m_isLate = false;
    bool isAnyUnreachable = std::ranges::any_of(m_excludedEndpoints, [&contact](const auto &it) { return contact.isUnreachable(it); });
    for (;;) {
        auto request = routeRequest();
        request.excluded = excluded;
        const auto choice = m_forwarder.m_dependencies.router.choose(request, now, m_forwarder.m_dependencies.random);
        if (!choice) {
            if (isAnyUnreachable && forwardToPeer()) {
                return;
            }
            if (choice.error().reason == routing::NoRouteReason::Paused) {
                waitForPauseEnd(choice.error().retryAt);
                return;
            }
            const bool isAbsent = choice.error().reason == routing::NoRouteReason::NotResident || choice.error().reason == routing::NoRouteReason::UnknownModel;
            waitForEndpoint(isAbsent ? missingWeightsCause() : forwarding::WaitCause::Full);
            return;
        }
        if (!m_isLate && isExpectedLate(*choice, now)) {
            m_isLate = true;
            continue;
        }
        if (wouldAnswerTooLate(*choice)) {
            if (contact.unreachableCount(m_service) > 0 && forwardToPeer()) {
                return;
            }
            waitForEndpoint(forwarding::WaitCause::Full);
            return;
        }
        if (hasUsableConnection(choice->endpoint)) {
            unlink();
            m_forwarder.m_dependencies.router.noteSent(*choice, request, now);
            startAttempt(*choice);
            return;
        }
        isAnyUnreachable = isAnyUnreachable || contact.isUnreachable(choice->endpoint);
        excluded.push_back(choice->endpoint);
    }
}

forwarding::WaitCause ForwardedCall::missingWeightsCause() const
{
    const auto &model = m_call.model.text();
    const auto slash = model.find('/');
    const bool isAdapter = slash != std::string::npos;
    const bool hasBase = isAdapter && m_forwarder.m_dependencies.router.replicas(qualifiedModelName(m_service, base::ModelName(model.substr(0, slash)))) > 0;
    return hasBase ? forwarding::WaitCause::AdapterMissing : forwarding::WaitCause::ModelMissing;
}

/// Applies to first attempts only; retries and streams in progress continue on any endpoint.
bool ForwardedCall::wouldAnswerTooLate(const routing::Choice &choice) const
{
    const bool isFirstAttempt = m_isEngine && m_attempts.sends() == 0;
    if (!isFirstAttempt) {
        return false;
    }
    const auto &wait = m_forwarder.m_options.wait;
    const auto maxWait = forwarding::callerPatience(m_route.objective, m_route.eventGapObjective, wait);
    return forwarding::exceedsPatience(choice.expectedFirstToken, std::min(maxWait, m_attempts.deadline() - base::now()), wait);
}

void ForwardedCall::waitForEndpoint(forwarding::WaitCause cause)
{
    const auto now = base::now();
    const bool isMissing = cause != forwarding::WaitCause::Full;
    m_waitCause = cause;
    m_pendingRejection = isMissing ? RejectionReason::NotResident : RejectionReason::NoEndpoint;
    m_waitingSince = m_waitingSince.value_or(now);
    if (!is_linked()) {
        m_forwarder.m_waitingCalls->push_back(*this);
        if (isMissing) {
            m_forwarder.m_dependencies.onNotResident(m_service, m_call.model);
        }
    }
    if (now >= *m_waitingSince + forwarding::maxWait(cause, m_route.objective, m_forwarder.m_options.wait)) {
        rejectAfter(m_attempts.finalStep(now));
    }
}

/// Rejects the call at once if the pause lasts longer than a call may wait.
void ForwardedCall::waitForPauseEnd(base::Time pauseEnd)
{
    const auto now = base::now();
    m_pauseEnd = pauseEnd;
    const auto waitEnd = m_waitingSince.value_or(now) + forwarding::maxWait(forwarding::WaitCause::Full, m_route.objective, m_forwarder.m_options.wait);
    if (pauseEnd <= waitEnd) {
        waitForEndpoint(forwarding::WaitCause::Full);
        return;
    }
    m_pendingRejection = RejectionReason::RejectedByEndpoints;
    rejectAfter(m_attempts.finalStep(now));
}

void ForwardedCall::startAttempt(const routing::Choice &choice)
{
    m_isReadingPaused = false;
    m_attempt.emplace();
    m_attempt->number = ++m_attemptNumber;
    m_attempt->choice = choice;
    m_attempt->sentAt = base::now();
    m_attempt->events = forwarding::EventCursor(m_lastEvent);
    const auto &endpoints = m_forwarder.m_dependencies.siteState.endpoints();
    const auto entry = endpoints.find(choice.endpoint);
    m_attempt->softwareVersion = entry == endpoints.end() ? "" : entry->second.softwareVersion;
    m_attempts.recordSend();
    if (m_isLate) {
        m_forwarder.m_dependencies.metrics.count("late_calls_sent_total");
    }
    telemetry::log(LogLevel::Debug, "requests", "sends",
                   {{"request", m_call.id}, {"endpoint", choice.endpoint.text()}, {"reason", toString(choice.reason)}, {"work", m_qualifiedModel.text()}});
    if (m_route.kind.isStreamed && m_lastEvent) {
        logResumption();
    }
    const bool isAtMostOnce = !m_route.kind.mayRunAgain();
    m_forwarder.m_dependencies.pool.acquireConnection(choice.endpoint, isAtMostOnce, m_attempt->sentAt,
                                                      [self = Pointer(this), number = m_attempt->number](tl::expected<PooledConnection, AcquireError> pooled) {
                                                          self->onConnection(number, std::move(pooled));
                                                      });
}

void ForwardedCall::onConnection(std::uint64_t number, tl::expected<PooledConnection, AcquireError> pooled)
{
    const bool isCurrent = !m_isFinished && m_attempt && m_attempt->number == number;
    if (!isCurrent) {
        if (pooled) {
            m_forwarder.m_dependencies.pool.returnConnection(*pooled, std::nullopt, base::now());
        }
        return;
    }
    // While the connection was being opened, the endpoint may have left or started again, possibly with another software version, or others
    // may have crashed with the same content.
    const auto &endpoints = m_forwarder.m_dependencies.siteState.endpoints();
    const auto entry = endpoints.find(m_attempt->choice.endpoint);
    const bool isSameIncarnation = pooled && entry != endpoints.end() && entry->second.incarnation == pooled->incarnation;
    const bool mayBeSent = isSameIncarnation && isServing(m_attempt->choice.endpoint) && !isRefusedForCrashes();
    if (pooled && !mayBeSent) {
        m_forwarder.m_dependencies.pool.returnConnection(*pooled, std::nullopt, base::now());
    }
    if (!mayBeSent) {
        m_attempt->connectionError = pooled ? net::ConnectionError::None : pooled.error().connectionError;
        finishAttempt(SendResult::NotSent);
        return;
    }
    if (dependsOnVersion() && !pooled->isVerified) {
        verifyConnection(number, *std::move(pooled));
        return;
    }
    sendRequest(*pooled);
}

bool ForwardedCall::isServing(const base::EndpointId &endpoint) const
{
    const auto &siteState = m_forwarder.m_dependencies.siteState;
    return siteState.endpoints().contains(endpoint) && !siteState.isDraining(endpoint);
}

void ForwardedCall::respondToCaller(net::HttpResponse response)
{
    const auto outcome = response.status < FirstFailureStatus ? "answered" : "endpoint_failure";
    m_exchange->respond(std::move(response));
    finish(outcome);
}

void ForwardedCall::rejectAfter(NextStep step)
{
    switch (step) {
    case NextStep::RejectNotRun:
        reject(m_pendingRejection);
        break;
    case NextStep::FailTimedOut:
        reject(RejectionReason::TimedOut);
        break;
    default:
        reject(RejectionReason::OutcomeUnknown);
        break;
    }
}

/// Its account did not use what a call costs that never ran; another daemon's call was counted there.
void ForwardedCall::giveBackUse() const
{
    if (m_account != nullptr && !m_isFromPeer && !m_route.isPublic) {
        m_forwarder.m_dependencies.giveBackUse(*m_account, m_call);
    }
}

void ForwardedCall::reject(RejectionReason reason)
{
    const auto now = base::now();
    if (!m_attempts.mayHaveRun()) {
        giveBackUse();
    }
    Rejection rejection{reason, std::nullopt};
    const bool mayBeServedLater = reason != RejectionReason::VersionUnavailable && reason != RejectionReason::CrashesEndpoints;
    if (reason == RejectionReason::Draining) {
        rejection.retryAfter = base::Duration(0); // another daemon may take the call at once
    } else if (!m_attempts.mayHaveRun() && mayBeServedLater) {
        const bool isPaused = m_pauseEnd && *m_pauseEnd > now;
        const auto recovery = isPaused ? *m_pauseEnd - now : forwarding::expectedRecovery(m_waitCause, m_isEngine, m_forwarder.m_options.wait);
        rejection.retryAfter =
            forwarding::retryDelay(recovery, m_attempts.deadline() - now, m_forwarder.m_options.retryDelay, m_forwarder.m_dependencies.random);
    }
    const auto &siteState = m_forwarder.m_dependencies.siteState;
    const auto lastRead = siteState.lastReadTime();
    const auto refused = reason == RejectionReason::CrashesEndpoints ? refusedContents() : std::vector<requests::Fingerprint>();
    telemetry::log(LogLevel::Warning, "requests", "refused",
                   {{"request", m_call.id},
                    {"route", m_route.name},
                    {"work", m_qualifiedModel.text()},
                    {"reason", toString(reason)},
                    {"content", toString(refused.empty() ? m_contents.front() : refused.front())},
                    {"has_run", m_attempts.mayHaveRun() ? "unknown" : "no"},
                    {"sends", static_cast<int>(m_attempts.sends())},
                    {"after_ms", base::millisecondsBetween(m_arrivedAt, now)},
                    {"events", m_events},
                    {"response", m_isStreaming ? "cut_off" : "rejection"},
                    {"forwarded", m_isForwarded ? "yes" : "no"},
                    {"unreachable", std::uint64_t(m_forwarder.m_dependencies.pool.contact().unreachableCount(m_service))},
                    {"revision", m_routes->configuration().revision.value()},
                    {"revision_in_force_ms", base::millisecondsBetween(siteState.routesSince(), now)},
                    {"endpoints_age_ms", lastRead ? base::millisecondsBetween(*lastRead, now) : -1},
                    {"retry_after_ms", rejection.retryAfter ? base::inMilliseconds(*rejection.retryAfter) : -1.0}});
    if (m_isStreaming) {
        // A stream that ends early must not look complete.
        m_exchange->abort();
        m_forwarder.m_dependencies.metrics.count("streams_cut_off_total{reason=\"" + std::string(toString(reason)) + "\"}");
    } else {
        m_exchange->respond(m_forwarder.m_dependencies.wire.makeRejection(rejection));
    }
    finish(toString(reason));
}

void ForwardedCall::armDeadlineTimer()
{
    m_deadlineTimer.expires_after(m_attempts.deadline() - base::now());
    m_deadlineTimer.async_wait([self = Pointer(this)](boost::system::error_code ec) {
        if (!ec && !self->m_isFinished) {
            self->handleDeadline();
        }
    });
}

void ForwardedCall::handleDeadline()
{
    const auto now = base::now();
    if (now < m_attempts.deadline()) {
        armDeadlineTimer();
        return;
    }
    if (m_peerForward) {
        m_attempts.recordEnd(SendResult::Silent);
        reject(RejectionReason::TimedOut);
        return;
    }
    if (!m_attempt) {
        rejectAfter(m_attempts.finalStep(now));
        return;
    }
    dropSilentAttempt(SendResult::Silent);
    const bool isSent = m_attempt->pooled.has_value();
    releaseConnection(*m_attempt, false);
    reportAttemptEnd(*m_attempt, isSent ? routing::AttemptOutcome::Lost : routing::AttemptOutcome::Cancelled);
    rejectAfter(m_attempts.afterSend(isSent ? SendResult::Silent : SendResult::NotSent, now, false));
}

void ForwardedCall::finish(std::string_view outcome)
{
    const auto guard = Pointer(this);
    m_isFinished = true;
    m_deadlineTimer.cancel();
    m_overlapTimer.cancel();
    unlink();
    inProgressHook.unlink();
    const auto now = base::now();
    const auto total = now - m_arrivedAt;
    const auto first = m_isStreaming ? m_firstEventAt - m_arrivedAt : total;
    auto &metrics = m_forwarder.m_dependencies.metrics;
    metrics.count("requests_total{outcome=\"" + std::string(outcome) + "\"}");
    metrics.observe("request_first_answer_seconds", std::chrono::duration<double>(first).count());
    metrics.observe("request_seconds", std::chrono::duration<double>(total).count());
    if (outcome != "answered" || m_forwarder.m_answeredLineBudget.tryAcquire(now)) {
        logEnd(outcome, now);
    }
    if (m_silentAttempt) {
        releaseConnection(*m_silentAttempt, false);
        reportAttemptEnd(*m_silentAttempt, routing::AttemptOutcome::Cancelled);
    }
    m_silentAttempt.reset();
    m_attempt.reset();
    if (m_peerForward) {
        m_peerForward->cancel();
    }
    m_peerForward.reset();
    m_exchange->setOnWritten(nullptr);
    m_exchange.reset();
}

void ForwardedCall::logEnd(std::string_view outcome, base::Time now) const
{
    const auto total = now - m_arrivedAt;
    const auto first = m_isStreaming ? m_firstEventAt - m_arrivedAt : total;
    const auto milliseconds = [](base::Duration it) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
    };
    telemetry::log(LogLevel::Info, "requests", "ended",
                   {{"request", m_call.id},
                    {"route", m_route.name},
                    {"work", m_qualifiedModel.text()},
                    {"endpoint", m_attempt ? m_attempt->choice.endpoint.text() : "none"},
                    {"outcome", outcome},
                    {"sends", static_cast<int>(m_attempts.sends())},
                    {"age_ms", milliseconds(m_arrivedAt - m_firstAttemptAt)},
                    {"yields", m_isLate ? "yes" : "no"},
                    {"first_ms", milliseconds(first)},
                    {"gap_ms", milliseconds(m_maxEventGap)},
                    {"total_ms", milliseconds(total)}});
}

} // namespace turmericplank::gateway
