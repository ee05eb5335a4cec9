#include "engine/engine.hpp"

#include "turmericplank/net/httpclient.hpp"

namespace turmericplank::standins::engine {

namespace {

using nlohmann::json;

constexpr base::Duration WeightRetryInterval = std::chrono::milliseconds(200);
constexpr base::Duration WeightTimeout = std::chrono::minutes(5);

std::string_view stateName(OrderState state)
{
    switch (state) {
    case OrderState::Running:
        return "running";
    case OrderState::Done:
        return "done";
    case OrderState::Failed:
        return "failed";
    }
    return "failed";
}

std::optional<Order> readOrder(const std::string &body)
{
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    try {
        const auto kind = parseOrderKind(document.at("kind").get<std::string>());
        if (!kind) {
            return std::nullopt;
        }
        const auto textField = [&document](const char *key) {
            return document.value(key, std::string());
        };
        return Order{document.at("order_id").get<std::string>(),
                     base::Term(document.at("term").get<std::uint64_t>()),
                     *kind,
                     textField("model"),
                     textField("version"),
                     textField("adapter"),
                     textField("role"),
                     document.value("memory_mib", std::uint32_t(0))};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

bool isLoad(OrderKind kind)
{
    return kind == OrderKind::Load || kind == OrderKind::LoadAdapter;
}

std::string weightsTarget(const Order &order)
{
    return order.kind == OrderKind::LoadAdapter ? "/weights/" + order.adapter + "?kind=adapter"
                                                : "/weights/" + order.model + "?mib=" + std::to_string(order.memoryMib);
}

} // namespace

bool Engine::preload(const std::string &model, std::uint32_t memoryMib)
{
    const Order order{"preload-" + model, base::Term(0), OrderKind::Load, model, "1", {}, {}, memoryMib};
    const auto receipt = m_orders.accept(order);
    if (receipt && receipt->isNew) {
        m_orders.finish(order.id);
    }
    return receipt.has_value();
}

bool Engine::preloadAdapter(const std::string &adapter, const std::string &model)
{
    const Order order{"preload-" + adapter, base::Term(0), OrderKind::LoadAdapter, model, {}, adapter, {}, 0};
    const auto receipt = m_orders.accept(order);
    if (receipt && receipt->isNew) {
        m_orders.finish(order.id);
    }
    return receipt && receipt->state != OrderState::Failed;
}

void Engine::handleOrder(const net::ExchangePointer &exchange)
{
    const auto order = readOrder(exchange->request().body);
    if (!order) {
        exchange->respond(errorResponse(400, "bad_request"));
        return;
    }
    const auto receipt = m_orders.accept(*order);
    if (!receipt && receipt.error() == OrderRejection::StaleTerm) {
        exchange->respond(jsonResponse(409, {{"code", "stale_term"}, {"highest_term", m_orders.highestTerm().value()}}));
        return;
    }
    if (!receipt) {
        exchange->respond(errorResponse(507, "out_of_memory"));
        return;
    }
    exchange->respond(jsonResponse(202, {{"state", stateName(receipt->state)}}));
    if (receipt->isNew) {
        startOrder(order->id);
    }
}

void Engine::startOrder(const std::string &orderId)
{
    const auto &order = m_orders.order(orderId);
    if (!isLoad(order.kind)) {
        m_pendingUnloads.push_back(orderId);
        finishUnusedUnloads();
        return;
    }
    const bool isModel = order.kind == OrderKind::Load;
    const auto loadTime = std::chrono::milliseconds(static_cast<std::int64_t>(isModel ? m_options.loadSecondsPerModel * 1000 : 0));
    if (m_options.weights.port != 0) {
        callAfter(m_program.context(), loadTime, [this, orderId] { fetchWeights(orderId); });
    } else {
        const auto wait = isModel ? loadTime : std::chrono::milliseconds(m_options.adapterMilliseconds);
        callAfter(m_program.context(), wait, [this, orderId] { finishOrder(orderId); });
    }
}

void Engine::fetchWeights(const std::string &orderId)
{
    net::HttpCallOptions options;
    options.to = m_options.weights;
    options.request = {"GET", weightsTarget(m_orders.order(orderId)), {}, {}};
    options.responseHeaderTimeout = WeightTimeout;
    net::fetchResponse(m_program.context(), std::move(options), [this, orderId](const auto &response) {
        if (response && response->status == 200) {
            finishOrder(orderId);
        } else {
            callAfter(m_program.context(), WeightRetryInterval, [this, orderId] { fetchWeights(orderId); });
        }
    });
}

void Engine::finishOrder(const std::string &orderId)
{
    m_orders.finish(orderId);
}

void Engine::finishUnusedUnloads()
{
    std::erase_if(m_pendingUnloads, [this](const std::string &id) {
        const auto &order = m_orders.order(id);
        const bool isBusy = order.kind == OrderKind::Unload && m_streams.isInUse({order.model, order.version});
        if (!isBusy) {
            finishOrder(id);
        }
        return !isBusy;
    });
}

json Engine::loadReport() const
{
    json residents = json::array();
    for (const auto &it : m_orders.residents()) {
        residents.push_back({{"model", it.model}, {"version", it.version}});
    }
    return {{"incarnation", m_incarnation},
            {"taken_at", base::toMilliseconds(base::now())},
            {"running", m_scheduler.running()},
            {"waiting", m_scheduler.waiting()},
            {"memory_mib", m_options.memoryMib},
            {"used_mib", m_orders.usedMib()},
            {"leaving", m_program.faults().faults.isLeaving},
            {"role", m_orders.role()},
            {"resident", residents},
            {"adapters", m_orders.adapters()},
            {"highest_term", m_orders.highestTerm().value()}};
}

json Engine::inventory() const
{
    auto document = loadReport();
    json orders = json::array();
    for (const auto &[id, state] : m_orders.orders()) {
        orders.push_back({{"order_id", id}, {"state", stateName(state)}});
    }
    document["orders"] = orders;
    document["overcommit_attempts"] = m_orders.overcommitAttempts();
    return document;
}

json Engine::delayedLoadReport()
{
    const auto now = base::now();
    if (now >= m_nextReportAt) {
        m_publishedReport = loadReport();
        m_nextReportAt = now + std::chrono::milliseconds(m_options.loadLagMilliseconds);
    }
    return m_publishedReport;
}

} // namespace turmericplank::standins::engine
