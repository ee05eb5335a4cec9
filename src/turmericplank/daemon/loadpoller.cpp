#include "turmericplank/daemon/loadpoller.hpp"

#include <nlohmann/json.hpp>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/net/httpclient.hpp"

namespace turmericplank::daemon {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(500);

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

} // namespace

void applyTo(routing::Router &router, const configuration::Document &document)
{
    std::vector<routing::RoutableEndpoint> endpoints;
    for (const auto &[id, it] : document.endpoints) {
        endpoints.push_back({id, it.address, it.zone, it.concurrency});
    }
    std::vector<base::ModelName> models;
    for (const auto &[name, it] : document.models) {
        models.push_back(name);
    }
    std::map<base::AdapterName, base::ModelName> adapters;
    for (const auto &[name, it] : document.adapters) {
        adapters.emplace(name, it.model);
    }
    router.setEndpoints(endpoints);
    router.setModels(models, adapters);
}

LoadPoller::LoadPoller(Environment &environment, routing::Router &router)
    : m_environment(environment)
    , m_router(router)
{
    every(environment.context, PollInterval, [this] { poll(); });
}

void LoadPoller::setEndpoints(const configuration::Document &document)
{
    m_endpoints.clear();
    for (const auto &[id, it] : document.endpoints) {
        m_endpoints.emplace(id, it.address);
    }
    poll();
}

void LoadPoller::poll()
{
    m_router.expire(base::now());
    for (const auto &[id, address] : m_endpoints) {
        net::HttpCallOptions options;
        options.to = address;
        options.request = {"GET", "/load", {}, {}};
        options.firstProgressTimeout = std::chrono::seconds(1);
        fetchWhole(m_environment.context, std::move(options), [this, endpoint = id](const tl::expected<net::HttpResponse, net::CallFailure> &response) {
            const auto report = response ? toReport(response->body) : std::nullopt;
            if (report) {
                m_router.noteReport(endpoint, *report, base::now());
            }
        });
    }
}

} // namespace turmericplank::daemon
