#include "turmericplank/gateway/placementrunner.hpp"

#include <algorithm>
#include <utility>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/gateway/endpointcall.hpp"
#include "turmericplank/gateway/placementdocument.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using placement::ConditionalAnswer;
using placement::ConditionalOrder;
using telemetry::LogLevel;

constexpr const char *LeaseKey = "lease/placement";

placement::LeaseOptions leaseOptions(const Settings &settings, const PlacementRunnerOptions &options)
{
    placement::LeaseOptions it;
    it.self = settings.id;
    it.key = LeaseKey;
    // Between the last order of one holder and the first of the next lies the pause that the site asks for.
    it.safetyMargin = settings.bounds.holderPause + options.thawReserve;
    it.duration = options.holdTime + it.safetyMargin;
    it.renewInterval = options.renewInterval;
    it.retryInterval = options.followInterval;
    return it;
}

/// The part of a work name behind its service; nothing if it is another service's.
std::optional<std::string> withoutService(const std::string &work, const base::ServiceName &service)
{
    const auto prefix = service.text() + ':';
    return work.starts_with(prefix) ? std::optional(work.substr(prefix.size())) : std::nullopt;
}

} // namespace

PlacementRunner::PlacementRunner(PlacementParts parts, const Settings &settings, PlacementRunnerOptions options)
    : m_parts(std::move(parts))
    , m_self(settings.id)
    , m_bounds(settings.bounds)
    , m_options(options)
    , m_lease(leaseOptions(settings, options))
    , m_demand(m_options.demand)
{
    daemon::callEvery(m_parts.context, m_options.tickInterval, [this] { tick(); });
}

void PlacementRunner::setOwnDemand(std::function<const placement::DemandCounters &()> demand)
{
    m_ownDemand = std::move(demand);
}

void PlacementRunner::onConfiguration()
{
    const auto &site = m_parts.fleet.routes()->configuration();
    for (const auto &[name, spec] : site.services) {
        if (!spec.engine) {
            continue;
        }
        auto &service = m_services[name];
        service.orders.setSpec(*spec.engine);
        service.weightLoads.setRate(spec.engine->weightLoadsPerSecond * m_options.weightLoadShare);
        service.document = placementDocument(*spec.engine);
    }
    onEndpoints();
}

void PlacementRunner::onEndpoints()
{
    const auto &endpoints = m_parts.fleet.endpoints();
    for (auto &[name, service] : m_services) {
        for (const auto &view : service.orders.endpointViews()) {
            if (!endpoints.contains(view.id)) {
                service.orders.removeEngine(view.id);
                m_known.erase(view.id);
                m_orderedAt.erase(view.id);
            }
        }
        for (const auto &[id, entry] : endpoints) {
            if (entry.service == name) {
                service.orders.updateEngine(entry, m_parts.fleet.isLeaving(id), base::now());
                service.restoresFrom = service.restoresFrom.value_or(base::now() + m_options.appearTime);
            }
        }
    }
}

void PlacementRunner::tick()
{
    const auto now = base::now();
    if (m_isStopped) {
        if (m_lease.isReleaseDue()) {
            callTable(now);
        }
        return;
    }
    const bool wasSuspended = now > m_lastTick + m_options.longestPause;
    m_lastTick = now;
    if (wasSuspended) {
        m_storelessUntil = base::Time();
    }
    stepLease(now);
    followTenure(now);
    followDemand(now);
    if (mayOrder(now) && now >= m_nextPlan) {
        m_nextPlan = now + m_options.planInterval;
        m_lastPlan = now;
        plan(now);
    }
}

void PlacementRunner::followDemand(base::Time now)
{
    if (now < m_nextDemand) {
        return;
    }
    m_nextDemand = now + m_options.planInterval;
    m_demand.advance(now);
    if (m_ownDemand) {
        m_demand.report(m_self, m_ownDemand(), now);
    }
}

/// Without the store the holder goes on under its term: no other daemon can take it over there either, or if only this
/// one is turned away, the engines refuse its term once the next holder has ordered.
bool PlacementRunner::mayOrder(base::Time now) const
{
    const bool isStoreless = m_lease.isUncontested() && m_lease.isTableDown() && now < m_storelessUntil;
    return (m_lease.isHeld(now) || isStoreless) && m_lease.term() > m_refused;
}

void PlacementRunner::stepLease(base::Time now)
{
    if (m_lease.isUncontested()) {
        callTable(now);
        return;
    }
    if (m_parts.hearsHolder() || now < m_nextFollow) {
        return;
    }
    m_nextFollow = m_parts.isReader() ? now : now + m_options.backupInterval;
    callTable(now);
}

void PlacementRunner::callTable(base::Time now)
{
    switch (m_lease.tick(now)) {
    case placement::LeaseAction::None:
        return;
    case placement::LeaseAction::Read:
        m_parts.metrics.count("store_calls_total{call=\"read_lease\"}");
        m_parts.table.readPrefix(LeaseKey, [this](const store::ReadResult &result) { m_lease.rowsRead(base::now(), result); });
        return;
    case placement::LeaseAction::Write:
        m_parts.metrics.count("store_calls_total{call=\"write_lease\"}");
        m_parts.table.transact(m_lease.pendingWrites(), [this](const store::WriteResult &result) { m_lease.rowsWritten(base::now(), result); });
        return;
    }
}

void PlacementRunner::followTenure(base::Time now)
{
    if (m_lease.isHeld(now)) {
        m_storelessUntil = now + m_options.storelessTime;
    }
    const auto tenure = mayOrder(now) ? m_lease.term() : base::Term();
    if (tenure == m_tenure) {
        return;
    }
    telemetry::log(LogLevel::Info, "placement", tenure == base::Term() ? "holds the lease no more" : "holds the lease",
                   {{"term", tenure == base::Term() ? m_tenure.value() : tenure.value()}, {"table", m_lease.isTableDown() ? "down" : "up"}});
    m_tenure = tenure;
    m_known.clear();
    if (tenure != base::Term()) {
        beginTenure(now);
    }
}

void PlacementRunner::beginTenure(base::Time now)
{
    // The same tenure may begin again behind a renewal that took long; nobody else has ordered meanwhile.
    const bool isTakeover = std::exchange(m_lastTerm, m_lease.term()) != m_lease.term();
    const auto &before = m_lease.predecessor();
    const bool isHandover = isTakeover && before && before->isReleased;
    for (auto &[name, service] : m_services) {
        service.orders.reset();
        for (const auto &it : isHandover ? before->recentlyOrdered : std::vector<base::EndpointId>()) {
            service.orders.holdOrdersUntil(it, now + m_bounds.holderPause + m_options.thawReserve);
        }
    }
    onEndpoints();
}

placement::Demand PlacementRunner::demandOf(const base::ServiceName &name) const
{
    const auto whole = m_demand.estimate();
    placement::Demand demand;
    for (const auto &[model, it] : whole.models) {
        if (const auto own = withoutService(model.text(), name)) {
            demand.models.emplace(base::ModelName(*own), it);
        }
    }
    for (const auto &[adapter, rate] : whole.adapters) {
        if (const auto own = withoutService(adapter.text(), name)) {
            demand.adapters.emplace(base::AdapterName(*own), rate);
        }
    }
    return demand;
}

void PlacementRunner::plan(base::Time now)
{
    for (auto &[name, service] : m_services) {
        for (const auto &id : service.orders.enginesToQuery(now)) {
            ask(name, id);
        }
        planService(name, service, now);
    }
}

void PlacementRunner::planService(const base::ServiceName &name, Service &service, base::Time now)
{
    placement::PlanInput input;
    input.document = service.document;
    input.endpoints = service.orders.endpointViews();
    input.demand = demandOf(name);
    input.loadsAllowed = service.weightLoads.available(now);
    input.adapterLoadsAllowed = m_options.adapterLoadsAtOnce;
    summarize(name, input, now);
    placement::ReplicaPlannerInput replicas{input.endpoints, {}, input.loadsAllowed, service.restoresFrom && now >= *service.restoresFrom};
    for (const auto &[model, spec] : service.document->models) {
        const auto demand = input.demand.models.find(model);
        replicas.models.emplace(model, placement::ModelRequirements{spec.memoryMib, demand == input.demand.models.end() ? 0 : demand->second.streams});
    }
    for (const auto &it : service.replicas.plan(replicas, now)) {
        order(name, it, now);
    }
    input.endpoints = service.orders.endpointViews();
    for (const auto &it : placement::planAdapterMoves(input, {})) {
        order(name, it, now);
    }
}

/// One line with the models that are asked for most, and how many engines hold each.
void PlacementRunner::summarize(const base::ServiceName &name, const placement::PlanInput &input, base::Time now)
{
    constexpr std::size_t MostNamed = 6;
    if (now < m_nextSummary) {
        return;
    }
    m_nextSummary = now + m_options.summaryInterval;
    std::vector<std::pair<double, base::ModelName>> busiest;
    for (const auto &[model, it] : input.demand.models) {
        busiest.emplace_back(it.streams, model);
    }
    std::ranges::sort(busiest, std::greater<>());
    busiest.resize(std::min(busiest.size(), MostNamed));
    std::string text;
    for (const auto &it : busiest) {
        const double load = it.first;
        const auto &model = it.second;
        const auto engines = std::ranges::count_if(input.endpoints, [&model](const auto &engine) {
            return engine.residents.contains(placement::Resident{model, {}, {}});
        });
        text += (text.empty() ? "" : ",") + model.text() + ':' + std::to_string(static_cast<int>(load * 100)) + '/' + std::to_string(engines);
    }
    telemetry::log(LogLevel::Info, "placement", "demand", {{"service", name.text()}, {"percent_per_engines", text}});
}

void PlacementRunner::order(const base::ServiceName &name, const placement::Move &move, base::Time now)
{
    auto &service = m_services.at(name);
    const auto order = service.orders.open(move, m_self, m_lease.term(), now);
    if (!order) {
        return;
    }
    const auto &endpoints = m_parts.fleet.endpoints();
    const auto entry = endpoints.find(move.endpoint);
    const bool isAtHand = entry != endpoints.end() && entry->second.atHand.contains(move.resident.model);
    if (move.kind == placement::OrderKind::Load && !isAtHand) {
        service.weightLoads.take(now);
    }
    m_orderedAt[move.endpoint] = now;
    m_parts.metrics.count("orders_total{kind=\"" + std::string(toString(move.kind)) + "\"}");
    telemetry::log(LogLevel::Info, "placement", "orders",
                   {{"kind", toString(move.kind)},
                    {"endpoint", move.endpoint.text()},
                    {"model", move.resident.model.text()},
                    {"adapter", order->adapter},
                    {"reason", toString(move.reason)},
                    {"from", isAtHand ? "copy" : "store"},
                    {"gain", move.gain},
                    {"expected", order->expectedSequence},
                    {"term", order->term.value()}});
    send(name, *order);
}

void PlacementRunner::send(const base::ServiceName &name, const ConditionalOrder &order)
{
    callEndpoint(m_parts.pool, m_parts.wire, order.endpoint, m_parts.wire.makeOrder(order), base::now() + m_options.orderTimeout,
                 [this, name, order](const std::optional<net::HttpResponse> &response) {
                     orderAnswered(name, order, response ? m_parts.wire.readOrderAnswer(*response) : ConditionalAnswer::Lost);
                 });
}

void PlacementRunner::orderAnswered(const base::ServiceName &name, const ConditionalOrder &order, ConditionalAnswer answer)
{
    auto &orders = m_services.at(name).orders;
    const bool isFine = answer == ConditionalAnswer::Accepted || answer == ConditionalAnswer::AlreadySo;
    telemetry::log(isFine ? LogLevel::Info : LogLevel::Warning, "placement", "order answered",
                   {{"endpoint", order.endpoint.text()},
                    {"model", order.model.text()},
                    {"adapter", order.adapter},
                    {"answer", toString(answer)},
                    {"expected", order.expectedSequence},
                    {"term", order.term.value()}});
    if (answer == ConditionalAnswer::StaleTerm) {
        m_refused = std::max(m_refused, order.term);
    }
    if (orders.answered(order, answer, base::now())) {
        publish(name, order.endpoint);
    }
}

void PlacementRunner::publish(const base::ServiceName &name, const base::EndpointId &id)
{
    const auto *state = m_services.at(name).orders.state(id);
    if (state == nullptr) {
        return;
    }
    const EngineNotice notice{id, state->incarnation, state->sequence, state->models};
    m_known[id] = {notice, base::now() + m_options.tellTime};
    m_parts.onEngine(notice);
    // The engine is free again: what it still lacks need not wait for the next round.
    const auto pause = std::max(m_options.tickInterval, m_options.pausePerEngine * static_cast<int>(m_parts.fleet.endpoints().size()));
    m_nextPlan = std::min(m_nextPlan, m_lastPlan + pause);
}

void PlacementRunner::ask(const base::ServiceName &name, const base::EndpointId &id)
{
    const auto askedAt = base::now();
    callEndpoint(m_parts.pool, m_parts.wire, id, m_parts.wire.makeStateQuestion(), askedAt + m_options.orderTimeout,
                 [this, name, id, askedAt](const std::optional<net::HttpResponse> &response) {
                     const auto state = response ? m_parts.wire.readState(*response) : std::nullopt;
                     if (!state) {
                         return;
                     }
                     m_services.at(name).orders.applyState(id, *state, askedAt);
                     publish(name, id);
                 });
}

void PlacementRunner::fillNotice(PeerNotice &notice) const
{
    notice.term = m_tenure;
    if (m_tenure == base::Term()) {
        return;
    }
    const auto now = base::now();
    for (const auto &[id, known] : m_known) {
        if (now < known.tellUntil) {
            notice.engines.push_back(known.notice);
        }
    }
}

void PlacementRunner::takeNotice(const PeerNotice &notice)
{
    if (notice.demand) {
        m_demand.report(notice.from, *notice.demand, base::now());
    }
}

void PlacementRunner::stop()
{
    std::vector<base::EndpointId> lately;
    const auto since = base::now() - m_bounds.holderPause - m_options.thawReserve;
    for (const auto &[id, at] : m_orderedAt) {
        if (at > since) {
            lately.push_back(id);
        }
    }
    if (m_tenure != base::Term()) {
        telemetry::log(LogLevel::Info, "placement", "gives the lease up", {{"term", m_tenure.value()}, {"ordered_lately", std::uint64_t(lately.size())}});
    }
    m_lease.release(std::move(lately));
    m_isStopped = true;
    m_tenure = base::Term();
}

} // namespace turmericplank::gateway
