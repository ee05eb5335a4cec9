#include "turmericplank/daemon/routingshell.hpp"

#include <nlohmann/json.hpp>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/net/httpclient.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::daemon {

namespace {

using routing::Router;

constexpr auto TickInterval = std::chrono::milliseconds(100);
constexpr auto CloseInterval = std::chrono::milliseconds(500); ///< polls of a responsible daemon
constexpr auto WideInterval = std::chrono::milliseconds(2500); ///< polls of all others
constexpr auto PollTimeout = std::chrono::milliseconds(1000);
constexpr auto ChosenLifetime = std::chrono::minutes(1);
constexpr std::uint64_t ServiceBit = 1; ///< of a ticket; the rest is the router's own

std::optional<routing::LoadReport> toReport(const std::string &text)
{
    try {
        const auto body = nlohmann::json::parse(text);
        routing::LoadReport report;
        report.incarnation = base::Incarnation(body.at("incarnation"));
        report.takenAt = base::timeFromMilliseconds(body.at("taken_at"));
        report.running = body.at("running");
        report.waiting = body.at("waiting");
        report.isLeaving = body.at("leaving");
        report.role = body.at("role");
        for (const auto &it : body.at("resident")) {
            report.resident.push_back({base::ModelName(it.at("model")), it.at("version")});
        }
        for (const auto &it : body.at("adapters")) {
            report.adapters.emplace_back(it.get<std::string>());
        }
        return report;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::vector<routing::CacheEvent> toEvents(const std::string &text)
{
    std::vector<routing::CacheEvent> events;
    try {
        for (const auto &it : nlohmann::json::parse(text).at("events")) {
            const auto fingerprint = routing::parsePrefixName(it.at("prefix").get<std::string>());
            if (fingerprint) {
                events.push_back({it.at("seq"), *fingerprint, it.at("action") == "added"});
            }
        }
    } catch (const nlohmann::json::exception &) {
        // What was read before the mistake stands; the index treats the rest as a gap.
    }
    return events;
}

routing::AttemptEnd toRouting(requests::AttemptEnd end)
{
    switch (end) {
    case requests::AttemptEnd::Answered:
        return routing::AttemptEnd::Answered;
    case requests::AttemptEnd::Refused:
        return routing::AttemptEnd::Overloaded;
    case requests::AttemptEnd::Malformed:
        return routing::AttemptEnd::Failed;
    case requests::AttemptEnd::NotSent:
    case requests::AttemptEnd::Lost:
    case requests::AttemptEnd::Silent:
        return routing::AttemptEnd::Lost;
    }
    return routing::AttemptEnd::Lost;
}

void logChoice(const requests::ChoiceQuery &query, const routing::Choice &choice)
{
    telemetry::log(telemetry::LogLevel::Info, "routing", "chose endpoint",
                   {{"request", query.request.text()},
                    {"model", query.model.text()},
                    {"endpoint", choice.endpoint.text()},
                    {"reason", toString(choice.reason)},
                    {"expected_ms", base::inMilliseconds(choice.expectedFirstToken)},
                    {"cached_tokens", std::uint64_t(choice.cachedTokens)},
                    {"runner_up", choice.runnerUp ? choice.runnerUp->text() : "none"},
                    {"runner_up_ms", base::inMilliseconds(choice.runnerUpFirstToken)}});
}

void logNoRoute(const requests::ChoiceQuery &query, const routing::NoRoute &none)
{
    telemetry::log(telemetry::LogLevel::Info, "routing", "no endpoint",
                   {{"request", query.request.text()},
                    {"model", query.model.text()},
                    {"reason", toString(none.reason)},
                    {"retry_at", base::toMilliseconds(none.retryAt)}});
}

} // namespace

RoutingShell::RoutingShell(Environment &environment)
    : m_environment(environment)
{
    every(environment.context, TickInterval, [this] { poll(); });
}

void RoutingShell::setHooks(RoutingShellHooks hooks)
{
    m_hooks = std::move(hooks);
}

void RoutingShell::apply(const configuration::Document &document)
{
    std::vector<routing::RoutableEndpoint> endpoints;
    std::map<base::EndpointId, Polled> polled;
    for (const auto &[id, it] : document.endpoints) {
        endpoints.push_back({id, it.address, it.zone, it.concurrency});
        const auto known = m_polled.find(id);
        const bool isSame = known != m_polled.end() && known->second.address == it.address;
        polled.emplace(id, isSame ? known->second : Polled{it.address, {}, 0, false});
    }
    std::vector<base::ModelName> models;
    for (const auto &[name, it] : document.models) {
        models.push_back(name);
    }
    std::map<base::AdapterName, base::ModelName> adapters;
    for (const auto &[name, it] : document.adapters) {
        adapters.emplace(name, it.model);
    }
    m_polled = std::move(polled);
    m_router.setEndpoints(endpoints);
    m_router.setModels(models, adapters);

    std::vector<routing::RoutableEndpoint> instances;
    m_serviceNames.clear();
    for (const auto &[name, service] : document.services) {
        m_serviceNames.insert(base::ModelName(name.text()));
        for (const auto &it : service.instances) {
            instances.push_back({it.id, it.address, it.zone, 16});
        }
    }
    m_services.setEndpoints(instances);
    m_services.setModels({m_serviceNames.begin(), m_serviceNames.end()}, {});
    const auto now = base::now();
    for (const auto &[name, service] : document.services) {
        for (const auto &it : service.instances) {
            // A service's instance holds its service for good; it sends no load reports.
            routing::LoadReport report;
            report.takenAt = now;
            report.resident = {{base::ModelName(name.text()), {}}};
            m_services.noteReport(it.id, report, now);
        }
    }
}

Router &RoutingShell::router()
{
    return m_router;
}

std::vector<base::EndpointId> RoutingShell::endpoints() const
{
    std::vector<base::EndpointId> all;
    for (const auto &[id, it] : m_polled) {
        all.push_back(id);
    }
    return all;
}

void RoutingShell::setMark(const base::EndpointId &endpoint, routing::EndpointMark mark)
{
    m_router.setMark(endpoint, mark, base::now());
}

Router &RoutingShell::routerOf(std::uint64_t ticket)
{
    return (ticket & ServiceBit) != 0 ? m_services : m_router;
}

std::optional<requests::Choice> RoutingShell::choose(const requests::ChoiceQuery &query, base::Time now)
{
    const bool isService = m_serviceNames.contains(query.model);
    routing::RouteRequest request;
    request.model = query.model;
    request.priority = query.priority;
    request.deadline = query.deadline;
    request.excluded = query.avoid;
    if (!isService) {
        request.prefixes = routing::prefixChain(query.model, query.prompt);
        request.promptTokens = routing::estimatedTokens(query.prompt);
    }
    const auto choice = (isService ? m_services : m_router).choose(request, now, m_environment.random);
    if (!choice) {
        m_environment.metrics.count("routing_decisions_total{result=\"none\"}");
        logNoRoute(query, choice.error());
        return std::nullopt;
    }
    m_environment.metrics.count("routing_decisions_total{result=\"chosen\"}");
    logChoice(query, *choice);
    const auto ticket = choice->ticket * 2 + (isService ? ServiceBit : 0);
    m_chosen[ticket] = {*choice, std::move(request), now + ChosenLifetime};
    return requests::Choice{choice->endpoint, choice->address, ticket};
}

requests::ChooseEndpoint RoutingShell::chooseEndpoint()
{
    return [this](const requests::ChoiceQuery &query, base::Time now) {
        return choose(query, now);
    };
}

void RoutingShell::end(const requests::Choice &choice, routing::AttemptEnd end, base::Time now)
{
    m_chosen.erase(choice.ticket);
    routerOf(choice.ticket).noteEnded(choice.ticket / 2, end, now);
}

requests::AttemptFeedback RoutingShell::feedback()
{
    requests::AttemptFeedback hooks;
    hooks.onSent = [this](const requests::ChoiceQuery & /*query*/, const requests::Choice &choice, base::Time now) {
        const auto it = m_chosen.find(choice.ticket);
        if (it != m_chosen.end()) {
            routerOf(choice.ticket).noteSent(it->second.choice, it->second.request, now);
            m_chosen.erase(it);
        }
    };
    hooks.onFirstPiece = [this](const requests::Choice &choice, base::Time now) {
        routerOf(choice.ticket).noteFirstToken(choice.ticket / 2, now);
    };
    hooks.onEnded = [this](const requests::Choice &choice, requests::AttemptEnd attemptEnd, base::Time now) {
        end(choice, toRouting(attemptEnd), now);
    };
    hooks.onCancelled = [this](const requests::Choice &choice, base::Time now) {
        end(choice, routing::AttemptEnd::Cancelled, now);
    };
    return hooks;
}

void RoutingShell::poll()
{
    const auto now = base::now();
    m_router.expire(now);
    m_services.expire(now);
    std::erase_if(m_chosen, [now](const auto &it) { return it.second.forgetAt <= now; });
    for (auto &[id, it] : m_polled) {
        if (it.isPolling || now < it.nextPollAt) {
            continue;
        }
        const bool isClose = !m_hooks.isResponsible || m_hooks.isResponsible(id);
        it.nextPollAt = now + (isClose ? base::Duration(CloseInterval) : base::Duration(WideInterval));
        pollLoad(id, it);
        pollEvents(id, it);
    }
}

void RoutingShell::pollLoad(const base::EndpointId &endpoint, Polled &polled)
{
    polled.isPolling = true;
    net::HttpCallOptions options;
    options.to = polled.address;
    options.request = {"GET", "/load", {}, {}};
    options.firstProgressTimeout = PollTimeout;
    options.silenceTimeout = PollTimeout;
    fetchWhole(m_environment.context, std::move(options), [this, endpoint](const tl::expected<net::HttpResponse, net::CallFailure> &response) {
        const auto it = m_polled.find(endpoint);
        if (it == m_polled.end()) {
            return;
        }
        it->second.isPolling = false;
        if (response && response->status == 200) {
            takeReport(endpoint, response->body);
        } else if (m_hooks.onFailure) {
            m_hooks.onFailure(endpoint);
        }
    });
}

void RoutingShell::takeReport(const base::EndpointId &endpoint, const std::string &body)
{
    const auto report = toReport(body);
    if (!report) {
        telemetry::log(telemetry::LogLevel::Warning, "routing", "malformed load report", {{"endpoint", endpoint.text()}});
        return;
    }
    m_router.noteReport(endpoint, *report, base::now());
    if (m_hooks.onAnswer) {
        m_hooks.onAnswer(endpoint, report->incarnation, report->isLeaving);
    }
}

void RoutingShell::pollEvents(const base::EndpointId &endpoint, const Polled &polled)
{
    net::HttpCallOptions options;
    options.to = polled.address;
    options.request = {"GET", "/cache_events?from=" + std::to_string(polled.nextEvent), {}, {}};
    options.firstProgressTimeout = PollTimeout;
    options.silenceTimeout = PollTimeout;
    fetchWhole(m_environment.context, std::move(options), [this, endpoint](const tl::expected<net::HttpResponse, net::CallFailure> &response) {
        if (response && response->status == 200) {
            takeEvents(endpoint, response->body);
        }
    });
}

void RoutingShell::takeEvents(const base::EndpointId &endpoint, const std::string &body)
{
    const auto it = m_polled.find(endpoint);
    if (it == m_polled.end()) {
        return;
    }
    const auto events = toEvents(body);
    if (!events.empty()) {
        it->second.nextEvent = events.back().sequence + 1;
        m_router.noteCacheEvents(endpoint, events, base::now());
    }
}

} // namespace turmericplank::daemon
