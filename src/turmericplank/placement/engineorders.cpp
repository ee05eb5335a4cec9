#include "turmericplank/placement/engineorders.hpp"

#include <algorithm>

namespace turmericplank::placement {

namespace {

/// The part of an adapter's name behind its model's.
std::string shortAdapter(const Resident &resident)
{
    const auto &text = resident.adapter.text();
    const auto slash = text.rfind('/');
    return slash == std::string::npos ? text : text.substr(slash + 1);
}

base::AdapterName fullAdapter(const base::ModelName &model, const std::string &adapter)
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

const routes::ModelSpec *EngineOrders::spec(const base::ModelName &model) const
{
    const auto it = std::ranges::find(m_spec.models, model, &routes::ModelSpec::name);
    return it == m_spec.models.end() ? nullptr : &*it;
}

void EngineOrders::updateEngine(const discovery::EndpointEntry &entry, bool isLeaving, base::Time now)
{
    auto &engine = m_engines[entry.id];
    engine.isLeaving = isLeaving;
    const bool isNew = engine.entry.incarnation != entry.incarnation || engine.entry.id != entry.id;
    engine.entry = entry;
    if (isNew) {
        engine.sent.reset();
        engine.modelOrder.reset();
        engine.state = {};
        engine.state.incarnation = entry.incarnation;
        engine.state.models = entry.models;
        engine.isUnclear = true;
        engine.statedAfter = now;
        engine.nextAsk = now;
        return;
    }
    const bool isTold = now >= engine.entryCountsFrom && !engine.sent && !engine.modelOrder;
    if (isTold && !engine.isUnclear && engine.state.models != entry.models) {
        makeUnclear(engine, now);
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

void EngineOrders::reset()
{
    for (auto &[id, engine] : m_engines) {
        engine.sent.reset();
        engine.modelOrder.reset();
        // What the holder before ordered may not show yet: the engine is asked first.
        engine.isUnclear = true;
        engine.statedAfter = {};
        engine.nextAsk = {};
    }
}

void EngineOrders::holdOrdersUntil(const base::EndpointId &id, base::Time until)
{
    const auto it = m_engines.find(id);
    if (it != m_engines.end()) {
        it->second.isUnclear = true;
        it->second.statedAfter = until;
        it->second.nextAsk = until;
    }
}

void EngineOrders::applyState(const base::EndpointId &id, const EngineState &state, base::Time askedAt)
{
    const auto it = m_engines.find(id);
    if (it == m_engines.end() || state.incarnation < it->second.state.incarnation) {
        return;
    }
    auto &engine = it->second;
    if (engine.sent || (engine.isUnclear && askedAt < engine.statedAfter)) {
        return;
    }
    if (engine.isUnclear) {
        engine.isUnclear = false;
        if (!state.isBusy) {
            engine.modelOrder.reset();
        }
    } else if (state.sequence < engine.state.sequence) {
        return;
    }
    engine.state = state;
    engine.entryCountsFrom = askedAt + m_options.entryLag;
    settleModelOrder(engine);
}

std::uint32_t EngineOrders::memoryOf(const EngineState &state) const
{
    std::uint32_t memory = 0;
    const auto adapterMemory = [this](const base::ModelName &model) {
        const auto *it = spec(model);
        return it == nullptr ? 0 : it->adapterMemoryMb;
    };
    for (const auto &[name, adapters] : state.models) {
        const auto *it = spec(name);
        // The size of a model that is no longer configured is not known: nothing fits beside it.
        memory += it == nullptr ? m_spec.memoryMb : it->memoryMb + static_cast<std::uint32_t>(adapters.size()) * it->adapterMemoryMb;
    }
    for (const auto &[model, adapter] : state.arrivingAdapters) {
        memory += adapterMemory(model);
    }
    return memory;
}

std::uint32_t EngineOrders::charged(const Engine &engine) const
{
    auto memory = memoryOf(engine.state);
    const bool isArriving = engine.modelOrder && engine.modelOrder->isLoad && !engine.state.models.contains(engine.modelOrder->model);
    const auto *it = isArriving ? spec(engine.modelOrder->model) : nullptr;
    return memory + (it == nullptr ? 0 : it->memoryMb);
}

std::uint32_t EngineOrders::adaptersOf(const Engine &engine) const
{
    auto n = engine.state.arrivingAdapters.size();
    for (const auto &[name, adapters] : engine.state.models) {
        n += adapters.size();
    }
    return static_cast<std::uint32_t>(n);
}

std::vector<EndpointView> EngineOrders::endpointViews() const
{
    std::vector<EndpointView> views;
    for (const auto &[id, engine] : m_engines) {
        if (engine.isLeaving) {
            continue;
        }
        EndpointView view;
        view.id = id;
        view.zone = engine.entry.zone;
        view.capacityMib = m_spec.memoryMb;
        view.committedMib = std::min(charged(engine), m_spec.memoryMb);
        view.concurrency = std::max(1U, static_cast<std::uint32_t>(engine.entry.slots * m_options.usableSlots));
        view.acceptsOrders = !engine.sent && !engine.modelOrder && !engine.isUnclear && !engine.state.isBusy;
        view.adapterSlots = m_spec.adapterSlots;
        view.atHand = engine.entry.atHand;
        for (const auto &[name, adapters] : engine.state.models) {
            view.residents[{name, {}, {}}] = ResidentState::Present;
            for (const auto &it : adapters) {
                view.residents[{name, {}, fullAdapter(name, it)}] = ResidentState::Present;
            }
        }
        for (const auto &[name, adapter] : engine.state.arrivingAdapters) {
            view.residents[{name, {}, fullAdapter(name, adapter)}] = ResidentState::Arriving;
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
    const auto *model = spec(move.resident.model);
    if (model == nullptr) {
        return false;
    }
    const bool isAdapter = move.kind == OrderKind::LoadAdapter;
    const auto memory = isAdapter ? model->adapterMemoryMb : model->memoryMb;
    const bool hasSlot = !isAdapter || adaptersOf(engine) < m_spec.adapterSlots;
    const bool hasBase = !isAdapter || engine.state.models.contains(move.resident.model);
    return hasSlot && hasBase && charged(engine) + memory <= m_spec.memoryMb;
}

bool EngineOrders::leavesReplica(const Engine &engine, const Move &move) const
{
    if (spec(move.resident.model) == nullptr) {
        return true;
    }
    return std::ranges::any_of(m_engines, [&](const auto &it) {
        const auto &other = it.second;
        const bool isLosing = other.modelOrder && !other.modelOrder->isLoad && other.modelOrder->model == move.resident.model;
        return &other != &engine && !other.isLeaving && !isLosing && other.state.models.contains(move.resident.model);
    });
}

std::optional<ConditionalOrder> EngineOrders::open(const Move &move, const base::DaemonId &holder, base::Term term, base::Time now)
{
    const auto it = m_engines.find(move.endpoint);
    const bool isPlacement = takesMemory(move.kind) || freesMemory(move.kind);
    if (it == m_engines.end() || !isPlacement) {
        return std::nullopt;
    }
    auto &engine = it->second;
    const bool isFree = !engine.sent && !engine.modelOrder && !engine.isUnclear && !engine.state.isBusy && !engine.isLeaving;
    const bool isSafe = takesMemory(move.kind) ? fits(engine, move) : move.kind == OrderKind::UnloadAdapter || leavesReplica(engine, move);
    if (!isFree || !isSafe) {
        return std::nullopt;
    }
    const bool isAdapter = !move.resident.adapter.isEmpty();
    ConditionalOrder order{
        takesMemory(move.kind), move.endpoint, move.resident.model, isAdapter ? shortAdapter(move.resident) : "", engine.state.sequence, holder, term};
    engine.sent = order;
    engine.nextAsk = now;
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
    engine.entryCountsFrom = now + m_options.entryLag;
    if (answer != ConditionalAnswer::Accepted && answer != ConditionalAnswer::AlreadySo) {
        makeUnclear(engine, now);
        return false;
    }
    if (order.adapter.empty()) {
        if (answer == ConditionalAnswer::AlreadySo) {
            makeUnclear(engine, now);
            return false;
        }
        const auto *model = spec(order.model);
        const auto loadTime = model == nullptr ? base::Duration(0) : model->loadTime;
        engine.modelOrder = order;
        engine.modelOrderUntil = now + std::chrono::duration_cast<base::Duration>(loadTime * m_options.loadPatience) + m_options.askInterval * 4;
        engine.nextAsk = now + (order.isLoad ? loadTime : m_options.unloadTime);
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
    // An unload is done and counted at once; a load that has nothing to do is not counted.
    const bool isCounted = answer == ConditionalAnswer::Accepted || !order.isLoad;
    engine.state.sequence = std::max(engine.state.sequence, order.expectedSequence + (isCounted ? 1 : 0));
    return true;
}

void EngineOrders::makeUnclear(Engine &engine, base::Time now) const
{
    engine.isUnclear = true;
    engine.statedAfter = now + m_options.reportLag;
    engine.nextAsk = engine.statedAfter;
}

std::vector<base::EndpointId> EngineOrders::enginesToQuery(base::Time now)
{
    std::vector<base::EndpointId> ids;
    for (auto &[id, engine] : m_engines) {
        if (engine.modelOrder && now >= engine.modelOrderUntil && !engine.isUnclear) {
            makeUnclear(engine, now);
        }
        const bool isWanted = engine.modelOrder || (engine.isUnclear && now >= engine.statedAfter);
        if (isWanted && !engine.isLeaving && now >= engine.nextAsk) {
            engine.nextAsk = now + m_options.askInterval;
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
