#include "turmericplank/placement/engineorders.hpp"

#include <algorithm>
#include <utility>

namespace turmericplank::placement {

namespace {

/// Name of an adapter without the name of its model.
std::string adapterWithoutModel(const Resident &resident)
{
    const auto &text = resident.adapter.text();
    const auto slash = text.rfind('/');
    return slash == std::string::npos ? text : text.substr(slash + 1);
}

base::AdapterName qualifiedAdapter(const base::ModelName &model, const std::string &adapter)
{
    return base::AdapterName(model.text() + '/' + adapter);
}

} // namespace

EngineOrders::EngineOrders(EngineOrdersOptions options)
    : m_options(options)
{
}

void EngineOrders::setSpec(const routes::EngineSpec &spec)
{
    m_spec = spec;
}

const routes::ModelSpec *EngineOrders::modelSpec(const base::ModelName &model) const
{
    const auto it = std::ranges::find(m_spec.models, model, &routes::ModelSpec::name);
    return it == m_spec.models.end() ? nullptr : &*it;
}

void EngineOrders::updateEngine(const discovery::EndpointEntry &entry, bool isLeaving, base::Time now)
{
    auto &engine = m_engines[entry.id];
    engine.isLeaving = isLeaving;
    const bool isNewIncarnation = engine.entry.incarnation != entry.incarnation || engine.entry.id != entry.id;
    engine.entry = entry;
    if (isNewIncarnation) {
        engine.sent.reset();
        engine.modelOrder.reset();
        engine.state = {};
        engine.state.incarnation = entry.incarnation;
        engine.state.models = entry.models;
        engine.isStateUncertain = true;
        engine.minReportTime = now;
        engine.nextQuery = now;
        return;
    }
    const bool isEntryCurrent = now >= engine.entryValidFrom && !engine.sent && !engine.modelOrder;
    if (isEntryCurrent && !engine.isStateUncertain && engine.state.models != entry.models) {
        markUncertain(engine, now);
    }
}

void EngineOrders::settleModelOrder(Engine &engine)
{
    if (!engine.modelOrder || engine.state.isBusy || engine.state.sequence <= engine.modelOrder->expectedSequence) {
        return;
    }
    const bool isHeld = engine.state.models.contains(engine.modelOrder->model);
    if (isHeld == engine.modelOrder->isLoad) {
        engine.modelOrder.reset();
    }
}

void EngineOrders::removeEngine(const base::EndpointId &id)
{
    m_engines.erase(id);
}

bool EngineOrders::beginTerm(base::Term term)
{
    if (std::exchange(m_term, term) == term) {
        return false;
    }
    for (auto &[id, engine] : m_engines) {
        engine.sent.reset();
        engine.modelOrder.reset();
        // Orders of the previous holder may not be visible in the known state yet, so the engine is queried first.
        engine.isStateUncertain = true;
        engine.minReportTime = {};
        engine.nextQuery = {};
    }
    return true;
}

void EngineOrders::holdOrdersUntil(const base::EndpointId &id, base::Time until)
{
    const auto it = m_engines.find(id);
    if (it != m_engines.end()) {
        it->second.isStateUncertain = true;
        it->second.minReportTime = until;
        it->second.nextQuery = until;
    }
}

void EngineOrders::applyState(const base::EndpointId &id, const EngineState &state, base::Time requestedAt)
{
    const auto it = m_engines.find(id);
    if (it == m_engines.end() || state.incarnation < it->second.state.incarnation) {
        return;
    }
    auto &engine = it->second;
    if (engine.sent || (engine.isStateUncertain && requestedAt < engine.minReportTime)) {
        return;
    }
    if (engine.isStateUncertain) {
        engine.isStateUncertain = false;
        if (!state.isBusy) {
            engine.modelOrder.reset();
        }
    } else if (state.sequence < engine.state.sequence) {
        return;
    }
    engine.state = state;
    engine.entryValidFrom = requestedAt + m_options.entryLag;
    settleModelOrder(engine);
}

std::uint32_t EngineOrders::residentMemory(const EngineState &state) const
{
    std::uint32_t memory = 0;
    const auto adapterMemory = [this](const base::ModelName &model) {
        const auto *it = modelSpec(model);
        return it == nullptr ? 0 : it->adapterMemoryMb;
    };
    for (const auto &[name, adapters] : state.models) {
        const auto *it = modelSpec(name);
        // The size of a model that is no longer configured is unknown, so nothing else may be loaded on the engine.
        memory += it == nullptr ? m_spec.memoryMb : it->memoryMb + static_cast<std::uint32_t>(adapters.size()) * it->adapterMemoryMb;
    }
    for (const auto &[model, adapter] : state.arrivingAdapters) {
        memory += adapterMemory(model);
    }
    return memory;
}

std::uint32_t EngineOrders::committedMemory(const Engine &engine) const
{
    auto memory = residentMemory(engine.state);
    const bool isArriving = engine.modelOrder && engine.modelOrder->isLoad && !engine.state.models.contains(engine.modelOrder->model);
    const auto *it = isArriving ? modelSpec(engine.modelOrder->model) : nullptr;
    return memory + (it == nullptr ? 0 : it->memoryMb);
}

std::uint32_t EngineOrders::adapterCount(const Engine &engine) const
{
    auto count = engine.state.arrivingAdapters.size();
    for (const auto &[name, adapters] : engine.state.models) {
        count += adapters.size();
    }
    return static_cast<std::uint32_t>(count);
}

std::vector<EngineSnapshot> EngineOrders::engineSnapshots() const
{
    std::vector<EngineSnapshot> views;
    for (const auto &[id, engine] : m_engines) {
        if (engine.isLeaving) {
            continue;
        }
        EngineSnapshot view;
        view.id = id;
        view.zone = engine.entry.zone;
        view.capacityMib = m_spec.memoryMb;
        view.committedMib = std::min(committedMemory(engine), m_spec.memoryMb);
        view.concurrency = std::max(1U, static_cast<std::uint32_t>(engine.entry.slots * m_options.usableSlotShare));
        view.acceptsOrders = !engine.sent && !engine.modelOrder && !engine.isStateUncertain && !engine.state.isBusy;
        view.adapterSlots = m_spec.adapterSlots;
        view.localCopies = engine.entry.atHand;
        for (const auto &[name, adapters] : engine.state.models) {
            view.residents[{name, {}, {}}] = ResidentState::Present;
            for (const auto &adapter : adapters) {
                view.residents[{name, {}, qualifiedAdapter(name, adapter)}] = ResidentState::Present;
            }
        }
        for (const auto &[name, adapter] : engine.state.arrivingAdapters) {
            view.residents[{name, {}, qualifiedAdapter(name, adapter)}] = ResidentState::Arriving;
        }
        if (engine.modelOrder) {
            view.residents[{engine.modelOrder->model, {}, {}}] = engine.modelOrder->isLoad ? ResidentState::Arriving : ResidentState::Leaving;
        }
        views.push_back(std::move(view));
    }
    return views;
}

bool EngineOrders::fits(const Engine &engine, const Move &move) const
{
    const auto *model = modelSpec(move.resident.model);
    if (model == nullptr) {
        return false;
    }
    const bool isAdapter = move.kind == OrderKind::LoadAdapter;
    const auto memory = isAdapter ? model->adapterMemoryMb : model->memoryMb;
    const bool hasSlot = !isAdapter || adapterCount(engine) < m_spec.adapterSlots;
    const bool hasBase = !isAdapter || engine.state.models.contains(move.resident.model);
    return hasSlot && hasBase && committedMemory(engine) + memory <= m_spec.memoryMb;
}

bool EngineOrders::keepsReplica(const Engine &engine, const Move &move) const
{
    if (modelSpec(move.resident.model) == nullptr) {
        return true;
    }
    return std::ranges::any_of(m_engines, [&](const auto &it) {
        const auto &other = it.second;
        const bool isUnloading = other.modelOrder && !other.modelOrder->isLoad && other.modelOrder->model == move.resident.model;
        return &other != &engine && !other.isLeaving && !isUnloading && other.state.models.contains(move.resident.model);
    });
}

std::optional<ConditionalOrder> EngineOrders::open(const Move &move, const base::DaemonId &holder, base::Term term, base::Time now)
{
    const auto it = m_engines.find(move.endpoint);
    const bool changesMemory = takesMemory(move.kind) || freesMemory(move.kind);
    if (it == m_engines.end() || !changesMemory) {
        return std::nullopt;
    }
    auto &engine = it->second;
    const bool isReady = !engine.sent && !engine.modelOrder && !engine.isStateUncertain && !engine.state.isBusy && !engine.isLeaving;
    const bool isSafe = takesMemory(move.kind) ? fits(engine, move) : move.kind == OrderKind::UnloadAdapter || keepsReplica(engine, move);
    if (!isReady || !isSafe) {
        return std::nullopt;
    }
    const bool isAdapter = !move.resident.adapter.isEmpty();
    ConditionalOrder order{
        takesMemory(move.kind), move.endpoint, move.resident.model, isAdapter ? adapterWithoutModel(move.resident) : "", engine.state.sequence, holder, term};
    engine.sent = order;
    engine.nextQuery = now;
    return order;
}

bool EngineOrders::answered(const ConditionalOrder &order, ConditionalAnswer answer, base::Time now)
{
    const auto it = m_engines.find(order.endpoint);
    if (it == m_engines.end() || it->second.sent != order) {
        return false;
    }
    auto &engine = it->second;
    engine.sent.reset();
    engine.entryValidFrom = now + m_options.entryLag;
    if (answer != ConditionalAnswer::Accepted && answer != ConditionalAnswer::AlreadySo) {
        markUncertain(engine, now);
        return false;
    }
    if (order.adapter.empty()) {
        if (answer == ConditionalAnswer::AlreadySo) {
            markUncertain(engine, now);
            return false;
        }
        const auto *model = modelSpec(order.model);
        const auto loadTime = model == nullptr ? base::Duration(0) : model->loadTime;
        engine.modelOrder = order;
        engine.modelOrderDeadline = now + std::chrono::duration_cast<base::Duration>(loadTime * m_options.loadTimeoutFactor) + m_options.queryInterval * 4;
        const bool hasLocalCopy = engine.entry.atHand.contains(order.model);
        const auto expectedLoadTime = hasLocalCopy ? std::min(loadTime, m_options.expectedCopyLoadTime) : loadTime;
        engine.nextQuery = now + (order.isLoad ? expectedLoadTime : m_options.expectedUnloadTime);
        engine.state.sequence = std::max(engine.state.sequence, order.expectedSequence + 1);
        settleModelOrder(engine);
        return false;
    }
    auto &adapters = engine.state.models[order.model];
    if (order.isLoad) {
        adapters.insert(order.adapter);
    } else {
        adapters.erase(order.adapter);
    }
    // An adapter unload finishes at once (AlreadySo) and is counted; a load with nothing to do is not counted.
    const bool isCounted = answer == ConditionalAnswer::Accepted || !order.isLoad;
    engine.state.sequence = std::max(engine.state.sequence, order.expectedSequence + (isCounted ? 1 : 0));
    return true;
}

void EngineOrders::markUncertain(Engine &engine, base::Time now) const
{
    engine.isStateUncertain = true;
    engine.minReportTime = now + m_options.reportLag;
    engine.nextQuery = engine.minReportTime;
}

std::vector<base::EndpointId> EngineOrders::enginesToQuery(base::Time now)
{
    std::vector<base::EndpointId> ids;
    for (auto &[id, engine] : m_engines) {
        if (engine.modelOrder && now >= engine.modelOrderDeadline && !engine.isStateUncertain) {
            markUncertain(engine, now);
        }
        const bool needsQuery = engine.modelOrder || (engine.isStateUncertain && now >= engine.minReportTime);
        if (needsQuery && !engine.isLeaving && now >= engine.nextQuery) {
            engine.nextQuery = now + m_options.queryInterval;
            ids.push_back(id);
        }
    }
    return ids;
}

const EngineState *EngineOrders::state(const base::EndpointId &id) const
{
    const auto it = m_engines.find(id);
    return it == m_engines.end() ? nullptr : &it->second.state;
}

} // namespace turmericplank::placement
