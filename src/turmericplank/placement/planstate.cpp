#include "planstate.hpp"

#include <algorithm>

namespace turmericplank::placement {

namespace {

constexpr double DefaultServiceSeconds = 2.0;

} // namespace

PlanState::PlanState(const PlanInput &planInput, const PlannerOptions &plannerOptions)
    : input(planInput)
    , options(plannerOptions)
    , document(*planInput.document)
    , loadsLeft(planInput.loadsAllowed)
{
    for (const auto &[name, model] : document.models) {
        modelIndex.emplace(name, static_cast<std::uint32_t>(models.size()));
        PlannedModel planned;
        planned.model = &model;
        const auto it = input.demand.models.find(name);
        double serviceSeconds = DefaultServiceSeconds;
        if (it != input.demand.models.end()) {
            planned.streams = it->second.streams * options.headroom;
            planned.requestsPerSecond = it->second.requestsPerSecond;
            serviceSeconds = planned.requestsPerSecond > 0 ? it->second.streams / planned.requestsPerSecond : DefaultServiceSeconds;
        }
        planned.latePrice = document.placement.latenessPrice * model.weight * options.horizonSeconds / std::max(serviceSeconds, 1e-3);
        models.push_back(planned);
    }
    for (const auto &[name, adapter] : document.adapters) {
        const auto it = modelIndex.find(adapter.model);
        if (it != modelIndex.end()) {
            models[it->second].adapterMib += adapter.memoryMib;
        }
    }
    std::map<base::ZoneName, std::uint32_t> zoneIndex;
    for (const auto &view : input.endpoints) {
        PlannedEndpoint endpoint;
        endpoint.zone = zoneIndex.try_emplace(view.zone, static_cast<std::uint32_t>(zoneIndex.size())).first->second;
        endpoint.view = &view;
        endpoint.freeNowMib = std::int64_t(view.capacityMib) - view.committedMib;
        endpoint.freeAfterUnloadsMib = view.capacityMib;
        for (const auto &[resident, state] : view.residents) {
            addResident(endpoint, resident, state);
        }
        endpoints.push_back(std::move(endpoint));
    }
    zoneCount = static_cast<std::uint32_t>(zoneIndex.size());
    m_replicas.resize(models.size());
    for (std::uint32_t model = 0; model < models.size(); ++model) {
        updateReplicaList(model);
    }
}

void PlanState::addResident(PlannedEndpoint &endpoint, const Resident &resident, ResidentState state)
{
    const auto it = modelIndex.find(resident.model);
    if (!resident.adapter.isEmpty()) {
        const auto adapter = document.adapters.find(resident.adapter);
        const std::uint32_t memoryMib = adapter == document.adapters.end() ? 0 : adapter->second.memoryMib;
        endpoint.adapters.push_back({resident.adapter, it == modelIndex.end() ? UINT32_MAX : it->second, memoryMib, state});
        return;
    }
    if (it == modelIndex.end()) {
        endpoint.models.push_back({UINT32_MAX, resident, 0, state, false, false});
        return;
    }
    const auto &model = *models[it->second].model;
    const bool isCurrent = model.version == resident.version;
    endpoint.models.push_back({it->second, resident, model.memoryMib, state, isCurrent, false});
    if (state != ResidentState::Leaving) {
        endpoint.freeAfterUnloadsMib -= requiredMemory(it->second);
    }
}

std::size_t ReplicaList::zones() const
{
    return static_cast<std::size_t>(std::count_if(perZone.begin(), perZone.end(), [](auto count) { return count > 0; }));
}

void PlanState::updateReplicaList(std::uint32_t model)
{
    auto &list = m_replicas[model];
    list = {};
    list.perZone.resize(zoneCount);
    for (std::uint32_t n = 0; n < endpoints.size(); ++n) {
        bool isHeld = false;
        bool isPresent = false;
        for (const auto &held : endpoints[n].models) {
            const bool isReplica = held.model == model && held.state != ResidentState::Leaving;
            isHeld = isHeld || isReplica;
            isPresent = isPresent || (isReplica && held.state == ResidentState::Present);
        }
        if (isHeld) {
            list.endpoints.push_back(n);
            list.present += isPresent ? 1 : 0;
            ++list.perZone[endpoints[n].zone];
        }
    }
}

const std::vector<std::uint32_t> &PlanState::replicas(std::uint32_t model) const
{
    return m_replicas[model].endpoints;
}

const ReplicaList &PlanState::replicaList(std::uint32_t model) const
{
    return m_replicas[model];
}

bool PlanState::hasConfiguredVersion(std::uint32_t endpoint, std::uint32_t model) const
{
    const auto &held = endpoints[endpoint].models;
    return std::any_of(held.begin(), held.end(), [model](const auto &it) { return it.model == model && it.isCurrent; });
}

std::size_t PlanState::minReplicas(std::uint32_t model) const
{
    return std::max<std::size_t>(1, models[model].model->minimumReplicas);
}

std::int64_t PlanState::requiredMemory(std::uint32_t model) const
{
    return std::int64_t(models[model].model->memoryMib) + models[model].adapterMib;
}

bool PlanState::hasLocalCopy(std::uint32_t endpoint, std::uint32_t model) const
{
    return endpoints[endpoint].view->localCopies.contains(models[model].model->name);
}

bool PlanState::mayLoad(std::uint32_t endpoint, std::uint32_t model) const
{
    return (loadsLeft > 0 || hasLocalCopy(endpoint, model)) && hasMovesLeft();
}

bool PlanState::hasMovesLeft() const
{
    return moves.size() < options.maxMovesPerStep;
}

void PlanState::load(std::uint32_t endpoint, std::uint32_t model, MoveReason reason, double gain)
{
    auto &target = endpoints[endpoint];
    const auto &configured = *models[model].model;
    const Resident resident{configured.name, configured.version, {}};
    target.freeAfterUnloadsMib -= requiredMemory(model);
    target.models.push_back({model, resident, configured.memoryMib, ResidentState::Arriving, true, true});
    updateReplicaList(model);
    if (target.view->acceptsOrders && target.freeNowMib >= std::int64_t(configured.memoryMib) && mayLoad(endpoint, model)) {
        target.freeNowMib -= configured.memoryMib;
        loadsLeft -= hasLocalCopy(endpoint, model) ? 0 : 1;
        moves.push_back({OrderKind::Load, target.view->id, resident, {}, configured.memoryMib, reason, gain});
    }
}

void PlanState::unload(std::uint32_t endpoint, std::size_t held, MoveReason reason, double gain)
{
    auto &target = endpoints[endpoint];
    auto &leaving = target.models[held];
    const auto sameModel = [&leaving](const auto &it) {
        return it.model == leaving.model && it.state != ResidentState::Leaving;
    };
    const bool isLastVersion = std::count_if(target.models.begin(), target.models.end(), sameModel) == 1;
    bool hasAdapters = false;
    for (auto &adapter : target.adapters) {
        if (!isLastVersion || adapter.model != leaving.model) {
            continue;
        }
        hasAdapters = true;
        leavingAdapters.emplace(adapter.adapter, endpoint);
    }
    leaving.state = ResidentState::Leaving;
    if (leaving.model != UINT32_MAX) {
        target.freeAfterUnloadsMib += requiredMemory(leaving.model);
        updateReplicaList(leaving.model);
    }
    if (!hasAdapters && target.view->acceptsOrders) {
        moves.push_back({OrderKind::Unload, target.view->id, leaving.resident, {}, leaving.memoryMib, reason, gain});
    }
}

LoadDistributionInput distributionInput(const PlanState &state)
{
    LoadDistributionInput result;
    for (const auto &endpoint : state.endpoints) {
        result.capacity.push_back(std::max(1U, endpoint.view->concurrency));
    }
    for (std::uint32_t model = 0; model < state.models.size(); ++model) {
        result.replicas.push_back(state.replicas(model));
    }
    for (const auto &model : state.models) {
        result.demand.push_back(model.streams);
    }
    return result;
}

} // namespace turmericplank::placement
