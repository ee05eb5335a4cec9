#include "turmericplank/gateway/forwarder.hpp"

#include <vector>

#include "forwardedcall.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

Forwarder::Forwarder(ForwarderDependencies dependencies, SiteBounds bounds, ForwarderOptions options)
    : m_dependencies(std::move(dependencies))
    , m_bounds(bounds)
    , m_options(options)
    , m_answeredLineBudget(options.maxAnsweredLinesPerSecond)
    , m_peerLineBudget(options.maxAnsweredLinesPerSecond)
    , m_unknownKeyLineBudget(options.maxUnknownKeyLinesPerSecond)
    , m_slowReaderLineBudget(options.maxSlowReaderLinesPerSecond)
    , m_waitingCalls(std::make_unique<WaitingList>())
    , m_calls(std::make_unique<CallList>())
    , m_collectionBudget(new CollectionBudget(options.maxCollectedBytes))
{
}

Forwarder::~Forwarder()
{
    *m_isAlive = false;
    while (!m_waitingCalls->empty()) {
        const boost::intrusive_ptr<ForwardedCall> forwardedCall(&m_waitingCalls->front());
        forwardedCall->abandon();
    }
}

/// Callers do not try again after they were told that a route or a key is unknown, so an answer of this kind is not given from a
/// configuration that may be out of date.
void Forwarder::handleCall(const net::ExchangePointer &exchange, const std::optional<CallLimits> &limits)
{
    const Arrival arrival{limits, base::now(), true};
    if (m_isRejectingNewCalls || m_dependencies.isConfigurationCertain() || matchesConfiguration(exchange->request())) {
        admit(exchange, arrival);
        return;
    }
    ++*m_callsInProgress;
    m_dependencies.metrics.count("configuration_lookups_total");
    m_dependencies.refreshConfiguration([this, isAlive = m_isAlive, inProgress = m_callsInProgress, exchange, arrival](bool isCertain) {
        --*inProgress;
        if (*isAlive && exchange->isCallerConnected()) {
            admit(exchange, {arrival.limits, arrival.at, isCertain});
        }
    });
}

/// @return whether there is no configuration yet, or the one in force has the route of a request and an account for its key
bool Forwarder::matchesConfiguration(const net::HttpRequest &request) const
{
    const auto &routes = m_dependencies.siteState.routes();
    if (!routes) {
        return true;
    }
    const auto call = m_dependencies.wire.decodeCall(request);
    const auto *route = routes->find(call.host, net::path(request.target));
    if (route == nullptr) {
        return false;
    }
    const bool needsNoKey = !routes->configuration().accounts || route->isPublic;
    return needsNoKey || (call.key && routes->findAccount(*call.key) != nullptr);
}

void Forwarder::admit(const net::ExchangePointer &exchange, const Arrival &arrival)
{
    const auto &request = exchange->request();
    auto call = m_dependencies.wire.decodeCall(request);
    const auto &routes = m_dependencies.siteState.routes();
    const auto *route = routes ? routes->find(call.host, net::path(request.target)) : nullptr;
    const auto noRoute = arrival.isConfigurationCertain ? RejectionReason::NoRoute : RejectionReason::ConfigurationUncertain;
    if (route == nullptr || m_isRejectingNewCalls) {
        rejectUnmatched(exchange, call, m_isRejectingNewCalls ? RejectionReason::Draining : (routes ? noRoute : RejectionReason::NoConfiguration));
        return;
    }
    const auto *account = call.key ? routes->findAccount(*call.key) : nullptr;
    if (account == nullptr && routes->configuration().accounts && !route->isPublic) {
        if (arrival.isConfigurationCertain) {
            rejectUnknownKey(exchange, call, *route);
        } else {
            rejectUnmatched(exchange, call, RejectionReason::ConfigurationUncertain);
        }
        return;
    }
    // The use of a call that another daemon forwards has been counted there; a public route is open to all callers.
    if (account != nullptr && !arrival.limits && !route->isPublic && rejectOverLimit(exchange, call, *account)) {
        return;
    }
    const boost::intrusive_ptr<ForwardedCall> forwardedCall(
        new ForwardedCall(*this, exchange, std::move(call), {routes, *route, account}, arrival.limits, arrival.at));
    m_calls->push_back(*forwardedCall);
    forwardedCall->start();
}

void Forwarder::rejectUnmatched(const net::ExchangePointer &exchange, const Call &call, RejectionReason reason)
{
    const auto &routes = m_dependencies.siteState.routes();
    telemetry::log(telemetry::LogLevel::Warning, "requests", "refused",
                   {{"request", call.id},
                    {"reason", toString(reason)},
                    {"target", exchange->request().target},
                    {"revision", routes ? routes->configuration().revision.value() : std::uint64_t(0)}});
    m_dependencies.metrics.count("requests_total{outcome=\"" + std::string(toString(reason)) + "\"}");
    // Another daemon may accept the call at once, with a configuration or a route that is not in force here yet.
    const auto retryAfter = reason == RejectionReason::NoRoute ? std::optional<base::Duration>() : std::optional(base::Duration(0));
    exchange->respond(m_dependencies.wire.makeRejection({reason, retryAfter}));
}

void Forwarder::rejectUnknownKey(const net::ExchangePointer &exchange, const Call &call, const routes::Route &route)
{
    const auto &configuration = m_dependencies.siteState.routes()->configuration();
    if (m_unknownKeyLineBudget.tryAcquire(base::now())) {
        telemetry::log(telemetry::LogLevel::Warning, "accounts", "unknown key",
                       {{"request", call.id}, {"route", route.name}, {"key", call.key ? "unknown" : "none"}, {"revision", configuration.revision.value()}});
    }
    m_dependencies.metrics.count("requests_total{outcome=\"" + std::string(toString(RejectionReason::UnknownKey)) + "\"}");
    exchange->respond(m_dependencies.wire.makeRejection({RejectionReason::UnknownKey, std::nullopt}));
}

/// @return whether the call is beyond the account's limit, and so was rejected
bool Forwarder::rejectOverLimit(const net::ExchangePointer &exchange, const Call &call, const accounts::Account &account)
{
    const auto decision = m_dependencies.admitUse(account, call);
    if (decision.isAdmitted) {
        return false;
    }
    m_dependencies.metrics.count("requests_total{outcome=\"" + std::string(toString(RejectionReason::LimitExceeded)) + "\"}");
    const auto patience = call.callerTimeout.value_or(base::Duration::max() / 2);
    const auto retryAfter = forwarding::retryDelay(decision.retryAfter, patience, m_options.retryDelay, m_dependencies.random);
    exchange->respond(m_dependencies.wire.makeRejection({RejectionReason::LimitExceeded, retryAfter}));
    return true;
}

std::optional<base::ServiceName> Forwarder::serviceOf(const net::HttpRequest &request) const
{
    const auto call = m_dependencies.wire.decodeCall(request);
    const auto &routes = m_dependencies.siteState.routes();
    const auto *route = routes ? routes->find(call.host, net::path(request.target)) : nullptr;
    return route == nullptr ? std::nullopt : std::optional(chosenService(*route, call));
}

bool Forwarder::acceptsCalls() const
{
    return !m_isRejectingNewCalls && m_dependencies.siteState.routes();
}

void Forwarder::rejectNewCalls()
{
    m_isRejectingNewCalls = true;
    retryWaitingCalls();
}

void Forwarder::logCallsInProgress() const
{
    for (const auto &it : *m_calls) {
        it.logCutOff();
    }
}

void Forwarder::retryWaitingCalls()
{
    std::vector<boost::intrusive_ptr<ForwardedCall>> waiting;
    for (auto &it : *m_waitingCalls) {
        waiting.emplace_back(&it);
    }
    for (const auto &it : waiting) {
        it->retrySelection();
    }
}

void Forwarder::logOmittedLines()
{
    if (const auto n = m_answeredLineBudget.takeSuppressedCount(base::now())) {
        telemetry::log(telemetry::LogLevel::Info, "requests", "omitted lines for answered calls", {{"lines", *n}});
        m_dependencies.metrics.count("log_lines_left_out_total", *n);
    }
}

std::size_t Forwarder::callsInProgress() const
{
    return *m_callsInProgress;
}

const placement::DemandCounters &Forwarder::demand() const
{
    return m_demand;
}

requests::RetryBudget &Forwarder::retryBudget(const base::ServiceName &service)
{
    const auto share = m_options.retryBudgetShare;
    auto [it, isNew] = m_retryBudgets.try_emplace(service, requests::RetryBudgetOptions{m_bounds.retryRatio * share, 0});
    it->second.setReserve(m_bounds.retrySlack * share / static_cast<double>(std::max<std::size_t>(1, m_dependencies.daemonCount())));
    return it->second;
}

bool Forwarder::consumeRetryBudget(const base::ServiceName &service, base::Time now)
{
    return retryBudget(service).tryRetry(now);
}

/// Estimates engine time from the size of the call, since measured time includes time in queues.
void Forwarder::recordDemand(const base::ServiceName &service, const Call &call)
{
    const auto slash = call.model.text().find('/');
    auto &counter = m_demand.models[qualifiedModelName(service, base::ModelName(call.model.text().substr(0, slash)))];
    ++counter.requests;
    const auto pace = m_tokenCosts.relativeCost(qualifiedModelName(service, base::ModelName(call.model.text().substr(0, slash))));
    m_uncountedMilliseconds += pace * call.promptTokens * m_options.promptTokenMilliseconds + pace * call.maxAnswerTokens * m_options.answerTokenMilliseconds;
    const auto wholeMilliseconds = static_cast<std::uint64_t>(m_uncountedMilliseconds);
    m_uncountedMilliseconds -= static_cast<double>(wholeMilliseconds);
    counter.streamMilliseconds += wholeMilliseconds;
    if (slash != std::string::npos) {
        ++m_demand.adapters[base::AdapterName(qualifiedModelName(service, call.model).text())];
    }
}

} // namespace turmericplank::gateway
