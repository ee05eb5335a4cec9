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
    // The site requires a pause between the last order of one holder and the first order of the next.
    it.safetyMargin = settings.bounds.leaseHandoverPause + options.suspensionMargin;
    it.duration = options.leaseHoldTime + it.safetyMargin;
    it.renewInterval = options.renewInterval;
    it.retryInterval = options.leaseReadInterval;
    it.mayTakeAbsentRow = settings.isFirstStart;
    return it;
}

/// Removes the service from a qualified name; nothing if the name belongs to another service.
std::optional<std::string> withoutService(const std::string &qualifiedName, const base::ServiceName &service)
{
    const auto prefix = service.text() + ':';
    return qualifiedName.starts_with(prefix) ? std::optional(qualifiedName.substr(prefix.size())) : std::nullopt;
}

} // namespace

PlacementRunner::PlacementRunner(PlacementDependencies dependencies, const Settings &settings, PlacementRunnerOptions options)
    : m_dependencies(std::move(dependencies))
    , m_self(settings.id)
    , m_bounds(settings.bounds)
    , m_options(options)
    , m_lease(leaseOptions(settings, options))
    , m_demand(m_options.demand)
{
    daemon::callEvery(m_dependencies.context, m_options.tickInterval, [this] { tick(); });
}

void PlacementRunner::setOwnDemandSource(std::function<const placement::DemandCounters &()> demand)
{
    m_ownDemandSource = std::move(demand);
}

void PlacementRunner::updateConfiguration()
{
    const auto &site = m_dependencies.siteState.routes()->configuration();
    for (const auto &[name, spec] : site.services) {
        if (!spec.engine) {
            continue;
        }
        auto &service = m_services[name];
        service.orders.setSpec(*spec.engine);
        service.weightLoads.setRate(spec.engine->weightLoadsPerSecond * m_options.weightLoadShare);
        service.document = placementDocument(*spec.engine);
    }
    updateEngines();
}

void PlacementRunner::updateEngines()
{
    const auto &endpoints = m_dependencies.siteState.endpoints();
    for (auto &[name, service] : m_services) {
        for (const auto &view : service.orders.engineSnapshots()) {
            if (!endpoints.contains(view.id)) {
                service.orders.removeEngine(view.id);
                m_engineUpdates.erase(view.id);
                m_lastOrderAt.erase(view.id);
            }
        }
        for (const auto &[id, entry] : endpoints) {
            if (entry.service == name) {
                service.orders.updateEngine(entry, m_dependencies.siteState.isDraining(id), base::now());
                service.restoreModelsFrom = service.restoreModelsFrom.value_or(base::now() + m_options.engineAppearanceTime);
            }
        }
    }
}

void PlacementRunner::tick()
{
    const auto now = base::now();
    if (m_isStopped) {
        if (m_lease.isReleaseDue()) {
            runLeaseStep(now);
        }
        return;
    }
    if (wasSuspended(now)) {
        m_orderWithoutStoreUntil = base::Time();
    }
    m_lastTick = now;
    advanceLease(now);
    updateActiveTerm(now);
    updateDemand(now);
    if (mayOrder(now) && now >= m_nextPlan) {
        m_nextPlan = now + m_options.planInterval;
        m_lastPlan = now;
        plan(now);
    }
}

void PlacementRunner::updateDemand(base::Time now)
{
    if (now < m_nextDemand) {
        return;
    }
    m_nextDemand = now + m_options.planInterval;
    m_demand.advance(now);
    if (m_ownDemandSource) {
        m_demand.report(m_self, m_ownDemandSource(), now);
    }
}

/// Whether the process has been suspended since the last tick. Handlers of other events may run before the next one.
bool PlacementRunner::wasSuspended(base::Time now) const
{
    return now > m_lastTick + m_options.maxTickGap;
}

bool PlacementRunner::mayOrder(base::Time now) const
{
    const placement::OutageView outage{m_lease.isUncontested(), m_lease.isTableDown(), m_bounds.enginesCheckTerms, m_dependencies.areAllDaemonsHeard(),
                                       m_orderWithoutStoreUntil};
    const bool mayGoOn = !wasSuspended(now) && placement::mayOrderWithoutTable(outage, now);
    return (m_lease.isHeld(now) || mayGoOn) && m_lease.term() > m_staleTerm;
}

bool PlacementRunner::isHolder() const
{
    return m_activeTerm != base::Term() && mayOrder(base::now());
}

/// While the connection for an order was opened, the lease may have expired, or may have been released.
bool PlacementRunner::mayStillSend(const ConditionalOrder &order) const
{
    const bool isAllowed = isHolder() && order.term == m_activeTerm;
    if (!isAllowed) {
        m_dependencies.metrics.count("orders_withheld_total");
        telemetry::log(LogLevel::Warning, "placement", "order withheld",
                       {{"endpoint", order.endpoint.text()}, {"model", order.model.text()}, {"term", order.term.value()}});
    }
    return isAllowed;
}

void PlacementRunner::advanceLease(base::Time now)
{
    if (m_lease.isUncontested()) {
        runLeaseStep(now);
        return;
    }
    if (m_dependencies.isHolderHeard() || now < m_nextLeaseRead) {
        return;
    }
    m_nextLeaseRead = m_dependencies.isStoreReader() ? now : now + m_options.backupLeaseReadInterval;
    runLeaseStep(now);
}

void PlacementRunner::runLeaseStep(base::Time now)
{
    switch (m_lease.tick(now)) {
    case placement::LeaseAction::None:
        return;
    case placement::LeaseAction::Read:
        m_dependencies.metrics.count("store_calls_total{call=\"read_lease\"}");
        m_dependencies.table.readPrefix(LeaseKey, [this](const store::ReadResult &result) { m_lease.rowsRead(base::now(), result); });
        return;
    case placement::LeaseAction::Write:
        m_dependencies.metrics.count("store_calls_total{call=\"write_lease\"}");
        m_dependencies.table.transact(m_lease.pendingWrites(), [this](const store::WriteResult &result) { m_lease.rowsWritten(base::now(), result); });
        return;
    }
}

void PlacementRunner::updateActiveTerm(base::Time now)
{
    if (m_lease.isHeld(now)) {
        m_orderWithoutStoreUntil = now + m_options.maxTimeWithoutStore;
    }
    const auto activeTerm = mayOrder(now) ? m_lease.term() : base::Term();
    if (activeTerm == m_activeTerm) {
        return;
    }
    telemetry::log(LogLevel::Info, "placement", activeTerm == base::Term() ? "holds the lease no longer" : "holds the lease",
                   {{"term", activeTerm == base::Term() ? m_activeTerm.value() : activeTerm.value()}, {"table", m_lease.isTableDown() ? "down" : "up"}});
    m_activeTerm = activeTerm;
    m_engineUpdates.clear();
    if (activeTerm != base::Term()) {
        beginTerm(now);
    }
}

void PlacementRunner::beginTerm(base::Time now)
{
    const auto &before = m_lease.predecessor();
    const bool isReleased = before && before->isReleased;
    for (auto &[name, service] : m_services) {
        const bool isHandover = service.orders.beginTerm(m_lease.term()) && isReleased;
        for (const auto &it : isHandover ? before->recentlyOrdered : std::vector<base::EndpointId>()) {
            service.orders.holdOrdersUntil(it, now + m_bounds.leaseHandoverPause + m_options.suspensionMargin);
        }
    }
    updateEngines();
}

placement::Demand PlacementRunner::serviceDemand(const base::ServiceName &name) const
{
    const auto total = m_demand.estimate();
    placement::Demand demand;
    for (const auto &[model, it] : total.models) {
        if (const auto stripped = withoutService(model.text(), name)) {
            demand.models.emplace(base::ModelName(*stripped), it);
        }
    }
    for (const auto &[adapter, rate] : total.adapters) {
        if (const auto stripped = withoutService(adapter.text(), name)) {
            demand.adapters.emplace(base::AdapterName(*stripped), rate);
        }
    }
    return demand;
}

void PlacementRunner::plan(base::Time now)
{
    for (auto &[name, service] : m_services) {
        for (const auto &id : service.orders.enginesToQuery(now)) {
            requestState(name, id);
        }
        planService(name, service, now);
    }
}

void PlacementRunner::planService(const base::ServiceName &name, Service &service, base::Time now)
{
    placement::PlanInput input;
    input.document = service.document;
    input.endpoints = service.orders.engineSnapshots();
    input.demand = serviceDemand(name);
    input.loadsAllowed = service.weightLoads.available(now);
    input.adapterLoadsAllowed = m_options.maxConcurrentAdapterLoads;
    logDemandSummary(name, input, now);
    placement::ReplicaPlannerInput replicas{input.endpoints, {}, input.loadsAllowed, service.restoreModelsFrom && now >= *service.restoreModelsFrom};
    for (const auto &[model, spec] : service.document->models) {
        const auto demand = input.demand.models.find(model);
        replicas.models.emplace(model, placement::ModelRequirements{spec.memoryMib, demand == input.demand.models.end() ? 0 : demand->second.streams});
    }
    for (const auto &it : service.replicas.plan(replicas, now)) {
        issueOrder(name, it, now);
    }
    input.endpoints = service.orders.engineSnapshots();
    for (const auto &it : placement::planAdapterMoves(input, {})) {
        issueOrder(name, it, now);
    }
}

/// Logs the models with the highest demand, in hundredths of a concurrent stream, and on how many engines each is resident.
void PlacementRunner::logDemandSummary(const base::ServiceName &name, const placement::PlanInput &input, base::Time now)
{
    constexpr std::size_t MaxNamedModels = 6;
    if (now < m_nextSummary) {
        return;
    }
    m_nextSummary = now + m_options.summaryInterval;
    std::vector<std::pair<double, base::ModelName>> busiest;
    for (const auto &[model, it] : input.demand.models) {
        busiest.emplace_back(it.streams, model);
    }
    std::ranges::sort(busiest, std::greater<>());
    busiest.resize(std::min(busiest.size(), MaxNamedModels));
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

void PlacementRunner::issueOrder(const base::ServiceName &name, const placement::Move &move, base::Time now)
{
    auto &service = m_services.at(name);
    const auto order = service.orders.open(move, m_self, m_lease.term(), now);
    if (!order) {
        return;
    }
    const auto &endpoints = m_dependencies.siteState.endpoints();
    const auto entry = endpoints.find(move.endpoint);
    const bool hasLocalCopy = entry != endpoints.end() && entry->second.atHand.contains(move.resident.model);
    if (move.kind == placement::OrderKind::Load && !hasLocalCopy) {
        service.weightLoads.take(now);
    }
    m_lastOrderAt[move.endpoint] = now;
    m_dependencies.metrics.count("orders_total{kind=\"" + std::string(toString(move.kind)) + "\"}");
    telemetry::log(LogLevel::Info, "placement", "orders",
                   {{"kind", toString(move.kind)},
                    {"endpoint", move.endpoint.text()},
                    {"model", move.resident.model.text()},
                    {"adapter", order->adapter},
                    {"reason", toString(move.reason)},
                    {"from", hasLocalCopy ? "copy" : "store"},
                    {"gain", move.gain},
                    {"expected", order->expectedSequence},
                    {"term", order->term.value()}});
    sendOrder(name, *order);
}

void PlacementRunner::sendOrder(const base::ServiceName &name, const ConditionalOrder &order)
{
    callEndpoint(
        m_dependencies.pool, m_dependencies.wire, order.endpoint, m_dependencies.wire.makeOrderRequest(order), base::now() + m_options.orderTimeout,
        [this, name, order](const std::optional<net::HttpResponse> &response) {
            handleOrderResponse(name, order, response ? m_dependencies.wire.decodeOrderResponse(*response) : ConditionalAnswer::Lost);
        },
        [this, order] { return mayStillSend(order); });
}

void PlacementRunner::handleOrderResponse(const base::ServiceName &name, const ConditionalOrder &order, ConditionalAnswer answer)
{
    auto &orders = m_services.at(name).orders;
    const bool isSuccess = answer == ConditionalAnswer::Accepted || answer == ConditionalAnswer::AlreadySo;
    telemetry::log(isSuccess ? LogLevel::Info : LogLevel::Warning, "placement", "order answered",
                   {{"endpoint", order.endpoint.text()},
                    {"model", order.model.text()},
                    {"adapter", order.adapter},
                    {"answer", toString(answer)},
                    {"expected", order.expectedSequence},
                    {"term", order.term.value()}});
    if (answer == ConditionalAnswer::StaleTerm) {
        m_staleTerm = std::max(m_staleTerm, order.term);
    }
    if (orders.answered(order, answer, base::now())) {
        publishEngineUpdate(name, order.endpoint);
    }
}

void PlacementRunner::publishEngineUpdate(const base::ServiceName &name, const base::EndpointId &id)
{
    const auto *state = m_services.at(name).orders.state(id);
    if (state == nullptr) {
        return;
    }
    const EngineUpdate update{id, state->incarnation, state->sequence, state->models};
    m_engineUpdates[id] = {update, base::now() + m_options.engineUpdateLifetime};
    m_dependencies.onEngineUpdate(update);
    // The engine can take its next order, so the next plan is moved forward to load what the engine still lacks.
    const auto pause = std::max(m_options.tickInterval, m_options.minPlanIntervalPerEngine * static_cast<int>(m_dependencies.siteState.endpoints().size()));
    m_nextPlan = std::min(m_nextPlan, m_lastPlan + pause);
}

void PlacementRunner::requestState(const base::ServiceName &name, const base::EndpointId &id)
{
    const auto requestedAt = base::now();
    callEndpoint(m_dependencies.pool, m_dependencies.wire, id, m_dependencies.wire.makeStateRequest(), requestedAt + m_options.orderTimeout,
                 [this, name, id, requestedAt](const std::optional<net::HttpResponse> &response) {
                     const auto state = response ? m_dependencies.wire.decodeState(*response) : std::nullopt;
                     if (!state) {
                         return;
                     }
                     m_services.at(name).orders.applyState(id, *state, requestedAt);
                     publishEngineUpdate(name, id);
                 });
}

void PlacementRunner::fillStatus(PeerStatus &status) const
{
    status.term = isHolder() ? m_activeTerm : base::Term();
    if (status.term == base::Term()) {
        return;
    }
    const auto now = base::now();
    for (const auto &[id, recent] : m_engineUpdates) {
        if (now < recent.publishUntil) {
            status.engines.push_back(recent.update);
        }
    }
}

void PlacementRunner::handlePeerStatus(const PeerStatus &status)
{
    if (status.demand) {
        m_demand.report(status.from, *status.demand, base::now());
    }
}

void PlacementRunner::noteStoreEra(base::StoreEra era)
{
    const auto now = base::now();
    m_lease.noteEra(now, era);
    updateActiveTerm(now);
}

void PlacementRunner::stop()
{
    std::vector<base::EndpointId> orderedRecently;
    const auto since = base::now() - m_bounds.leaseHandoverPause - m_options.suspensionMargin;
    for (const auto &[id, at] : m_lastOrderAt) {
        if (at > since) {
            orderedRecently.push_back(id);
        }
    }
    if (m_activeTerm != base::Term()) {
        telemetry::log(LogLevel::Info, "placement", "gives the lease up",
                       {{"term", m_activeTerm.value()}, {"ordered_lately", std::uint64_t(orderedRecently.size())}});
    }
    m_lease.release(std::move(orderedRecently));
    m_isStopped = true;
    m_activeTerm = base::Term();
}

} // namespace turmericplank::gateway
