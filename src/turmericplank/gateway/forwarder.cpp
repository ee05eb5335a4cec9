#include "turmericplank/gateway/forwarder.hpp"

#include <vector>

#include "transfer.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

Forwarder::Forwarder(ForwarderParts parts, SiteBounds bounds, ForwarderOptions options)
    : m_parts(std::move(parts))
    , m_bounds(bounds)
    , m_options(options)
    , m_answeredLines(options.answeredLines)
    , m_parked(std::make_unique<TransferList>())
{
}

Forwarder::~Forwarder()
{
    while (!m_parked->empty()) {
        const boost::intrusive_ptr<Transfer> transfer(&m_parked->front());
        transfer->abandon();
    }
}

void Forwarder::take(const net::ExchangePointer &exchange)
{
    const auto &request = exchange->request();
    auto call = m_parts.wire.readCall(request);
    const auto &routes = m_parts.fleet.routes();
    const auto *route = routes ? routes->find(call.host, net::path(request.target)) : nullptr;
    if (route == nullptr || m_refusesNew) {
        const auto reason = m_refusesNew ? RefusalReason::Leaving : (routes ? RefusalReason::NoRoute : RefusalReason::NoConfiguration);
        telemetry::log(telemetry::LogLevel::Warning, "requests", "refused",
                       {{"request", call.id},
                        {"reason", toString(reason)},
                        {"target", request.target},
                        {"revision", routes ? routes->configuration().revision.value() : std::uint64_t(0)}});
        m_parts.metrics.count("requests_total{outcome=\"" + std::string(toString(reason)) + "\"}");
        // Another daemon can take it at once; a route that this one does not know yet may be in force there.
        const auto retryAfter = reason == RefusalReason::NoRoute ? std::optional<base::Duration>() : std::optional(base::Duration(0));
        exchange->respond(m_parts.wire.makeRefusal({reason, retryAfter}));
        return;
    }
    const boost::intrusive_ptr<Transfer> transfer(new Transfer(*this, exchange, std::move(call), routes, *route, base::now()));
    transfer->start();
}

void Forwarder::refuseNew()
{
    m_refusesNew = true;
}

void Forwarder::retryParked()
{
    std::vector<boost::intrusive_ptr<Transfer>> waiting;
    for (auto &it : *m_parked) {
        waiting.emplace_back(&it);
    }
    for (const auto &it : waiting) {
        it->retry();
    }
}

void Forwarder::tellLeftOut()
{
    if (const auto n = m_answeredLines.takeSuppressedCount(base::now())) {
        telemetry::log(telemetry::LogLevel::Info, "requests", "lines on answered calls were left out", {{"lines", *n}});
        m_parts.metrics.count("log_lines_left_out_total", *n);
    }
}

std::size_t Forwarder::inProgress() const
{
    return *m_inProgress;
}

const placement::DemandCounters &Forwarder::demand() const
{
    return m_demand;
}

requests::RetryBudget &Forwarder::budget(const base::ServiceName &service)
{
    const auto share = m_options.retryBudgetShare;
    auto [it, isNew] = m_budgets.try_emplace(service, requests::RetryBudgetOptions{m_bounds.retryShare * share, 0});
    it->second.setReserve(m_bounds.retrySlack * share / static_cast<double>(std::max<std::size_t>(1, m_parts.daemons())));
    return it->second;
}

bool Forwarder::hasBudget(const base::ServiceName &service, base::Time now)
{
    return budget(service).hasRoom(now);
}

bool Forwarder::mayRetry(const base::ServiceName &service, base::Time now)
{
    return budget(service).tryRetry(now);
}

/// Engine time is reckoned from the size of the call, since time measured grows with every queue.
void Forwarder::countDemand(const base::ServiceName &service, const Call &call)
{
    const auto slash = call.model.text().find('/');
    auto &counter = m_demand.models[workName(service, base::ModelName(call.model.text().substr(0, slash)))];
    ++counter.requests;
    const auto pace = m_pace.pace(workName(service, base::ModelName(call.model.text().substr(0, slash))));
    m_fractionOfDemand += pace * call.promptTokens * m_options.promptTokenMilliseconds + pace * call.answerTokens * m_options.answerTokenMilliseconds;
    const auto whole = static_cast<std::uint64_t>(m_fractionOfDemand);
    m_fractionOfDemand -= static_cast<double>(whole);
    counter.streamMilliseconds += whole;
    if (slash != std::string::npos) {
        ++m_demand.adapters[base::AdapterName(workName(service, call.model).text())];
    }
}

} // namespace turmericplank::gateway
