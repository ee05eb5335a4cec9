#include "turmericplank/daemon/routingshell.hpp"

#include <nlohmann/json.hpp>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/net/httpclient.hpp"
#include "turmericplank/routing/zonedistance.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::daemon {

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(100);
constexpr auto PollTimeout = std::chrono::milliseconds(1000);

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
        // Events read before the error are kept; the index treats the missing ones as a gap.
    }
    return events;
}

routing::RouterOptions routerOptions(const base::ZoneName &own)
{
    routing::RouterOptions options;
    options.zoneDistance = [own](const base::ZoneName &zone) {
        return routing::zoneDistance(own, zone);
    };
    return options;
}

} // namespace

RoutingShell::RoutingShell(Environment &environment)
    : m_environment(environment)
    , m_router(routerOptions(environment.settings.zone))
{
    callEvery(environment.context, TickInterval, [this] { poll(); });
}

void RoutingShell::setHooks(RoutingShellHooks hooks)
{
    m_hooks = std::move(hooks);
}

void RoutingShell::apply(const configuration::Document &document)
{
    std::vector<routing::RoutableEndpoint> endpoints;
    std::map<base::EndpointId, PollTarget> targets;
    std::map<base::EndpointId, bool> newEndpoints;
    for (const auto &[id, it] : document.endpoints) {
        endpoints.push_back({id, it.address, it.zone, it.concurrency});
        const auto known = m_pollTargets.find(id);
        const bool isSame = known != m_pollTargets.end() && known->second.address == it.address;
        targets.emplace(id, isSame ? known->second : PollTarget{it.address, 0});
        newEndpoints.emplace(id, !isSame);
    }
    std::vector<base::ModelName> models;
    for (const auto &[name, it] : document.models) {
        models.push_back(name);
    }
    std::map<base::AdapterName, base::ModelName> adapters;
    for (const auto &[name, it] : document.adapters) {
        adapters.emplace(name, it.model);
    }
    m_pollTargets = std::move(targets);
    m_scheduler.setEndpoints(newEndpoints);
    m_router.setEndpoints(endpoints);
    m_router.setModels(models, adapters);
}

routing::Router &RoutingShell::router()
{
    return m_router;
}

void RoutingShell::setStatus(const base::EndpointId &endpoint, routing::EndpointStatus status)
{
    m_router.setStatus(endpoint, status, base::now());
}

void RoutingShell::poll()
{
    const auto now = base::now();
    m_router.expire(now);
    const auto pollDuty = [this](const base::EndpointId &endpoint) {
        return m_hooks.pollDuty ? m_hooks.pollDuty(endpoint) : routing::PollDuty::Primary;
    };
    for (const auto &it : m_scheduler.takeDueLoads(now, pollDuty)) {
        pollLoad(it, m_pollTargets.at(it));
    }
    for (const auto &it : m_scheduler.takeDueEvents(now)) {
        pollEvents(it, m_pollTargets.at(it));
    }
}

std::vector<routing::ReportDigest> RoutingShell::ownReports() const
{
    return m_scheduler.ownDigests(base::now());
}

void RoutingShell::applyReport(const routing::ReportDigest &digest)
{
    const auto now = base::now();
    if (const auto report = m_scheduler.noteDigest(digest, now)) {
        m_router.noteReport(digest.endpoint, *report, now);
    }
}

void RoutingShell::pollSoon(const base::EndpointId &endpoint)
{
    m_scheduler.pollSoon(endpoint, base::now());
}

void RoutingShell::pollLoad(const base::EndpointId &endpoint, const PollTarget &target)
{
    net::HttpCallOptions options;
    options.to = target.address;
    options.request = {"GET", "/load", {}, {}};
    options.byteCounter = &m_environment.pollBytes;
    options.responseHeaderTimeout = PollTimeout;
    options.bodyIdleTimeout = PollTimeout;
    fetchResponse(m_environment.context, std::move(options), [this, endpoint](const tl::expected<net::HttpResponse, net::CallFailure> &response) {
        const auto report = response && response->status == 200 ? toReport(response->body) : std::nullopt;
        if (!m_pollTargets.contains(endpoint)) {
            return;
        }
        if (report) {
            applyReport(endpoint, *report);
            return;
        }
        m_scheduler.noteFailure(endpoint, base::now());
        if (m_hooks.onFailure) {
            m_hooks.onFailure(endpoint);
        }
    });
}

void RoutingShell::applyReport(const base::EndpointId &endpoint, const routing::LoadReport &report)
{
    const auto now = base::now();
    m_scheduler.noteReport(endpoint, report, now);
    m_router.noteReport(endpoint, report, now);
    if (m_hooks.onAnswer) {
        m_hooks.onAnswer(endpoint, report.incarnation, report.isLeaving);
    }
}

void RoutingShell::pollEvents(const base::EndpointId &endpoint, const PollTarget &target)
{
    net::HttpCallOptions options;
    options.to = target.address;
    options.request = {"GET", "/cache_events?from=" + std::to_string(target.nextEvent), {}, {}};
    options.byteCounter = &m_environment.pollBytes;
    options.responseHeaderTimeout = PollTimeout;
    options.bodyIdleTimeout = PollTimeout;
    fetchResponse(m_environment.context, std::move(options), [this, endpoint](const tl::expected<net::HttpResponse, net::CallFailure> &response) {
        if (response && response->status == 200) {
            m_scheduler.noteEvents(endpoint, response->body.size(), base::now());
            applyEvents(endpoint, response->body);
        }
    });
}

void RoutingShell::applyEvents(const base::EndpointId &endpoint, const std::string &body)
{
    const auto it = m_pollTargets.find(endpoint);
    if (it == m_pollTargets.end()) {
        return;
    }
    const auto events = toEvents(body);
    if (!events.empty()) {
        it->second.nextEvent = events.back().sequence + 1;
        m_router.noteCacheEvents(endpoint, events, base::now());
    }
}

} // namespace turmericplank::daemon
