#include <algorithm>
#include <tuple>

#include "planstate.hpp"

namespace turmericplank::placement {

namespace {

constexpr std::size_t AdapterReplicas = 2;
constexpr double EvictionRateRatio = 2; // a last replica is evicted only for an adapter with more than this many times its request rate;
                                        // otherwise two adapters would evict each other in turn
constexpr std::size_t AdapterReplicasAtHighMovePrice = 1; // if a move costs more than a late request; a lost adapter is loaded again in milliseconds

bool holdsAdapter(const PlannedEndpoint &endpoint, const base::AdapterName &adapter)
{
    const auto isSame = [&adapter](const auto &it) {
        return it.adapter == adapter;
    };
    return std::any_of(endpoint.adapters.begin(), endpoint.adapters.end(), isSame);
}

/// Endpoints that hold each model, by model index. Adapters are only loaded on endpoints that hold their base model.
using BaseEndpoints = std::vector<std::vector<std::uint32_t>>;

BaseEndpoints findBaseEndpoints(const PlanState &state)
{
    BaseEndpoints baseEndpoints(state.models.size());
    for (std::uint32_t n = 0; n < state.endpoints.size(); ++n) {
        for (const auto &held : state.endpoints[n].models) {
            const bool isKnown = held.model < baseEndpoints.size();
            if (isKnown && held.state == ResidentState::Present && (baseEndpoints[held.model].empty() || baseEndpoints[held.model].back() != n)) {
                baseEndpoints[held.model].push_back(n);
            }
        }
    }
    return baseEndpoints;
}

/// Endpoints with the base model that can load an adapter, those in zones without the adapter first.
std::vector<std::uint32_t> candidateEndpoints(const PlanState &state, const configuration::Adapter &adapter, const std::vector<std::uint32_t> &baseEndpoints,
                                              const std::set<base::ZoneName> &zones)
{
    std::vector<std::uint32_t> candidates;
    for (const auto n : baseEndpoints) {
        const auto &endpoint = state.endpoints[n];
        const bool hasRoom = endpoint.freeNowMib >= std::int64_t(adapter.memoryMib);
        const bool hasSlot = endpoint.adapters.size() < endpoint.view->adapterSlots;
        if (endpoint.view->acceptsOrders && hasRoom && hasSlot && !holdsAdapter(endpoint, adapter.name)) {
            candidates.push_back(n);
        }
    }
    const auto rank = [&](std::uint32_t n) {
        const auto &endpoint = state.endpoints[n];
        return std::pair(zones.contains(endpoint.view->zone), endpoint.adapters.size());
    };
    std::stable_sort(candidates.begin(), candidates.end(), [&rank](auto a, auto b) { return rank(a) < rank(b); });
    return candidates;
}

/// Zones and number of endpoints that hold an adapter.
struct AdapterLocations
{
    std::set<base::ZoneName> zones;
    std::size_t holders = 0;
};

AdapterLocations findAdapter(const PlanState &state, const base::AdapterName &adapter, const std::vector<std::uint32_t> &baseEndpoints)
{
    AdapterLocations locations;
    for (const auto n : baseEndpoints) {
        for (const auto &held : state.endpoints[n].adapters) {
            if (held.adapter == adapter && held.state != ResidentState::Leaving && !state.leavingAdapters.contains({adapter, n})) {
                locations.zones.insert(state.endpoints[n].view->zone);
                ++locations.holders;
            }
        }
    }
    return locations;
}

double requestRate(const PlanState &state, const base::AdapterName &adapter)
{
    const auto demand = state.input.demand.adapters.find(adapter);
    return demand == state.input.demand.adapters.end() ? 0 : demand->second;
}

std::size_t targetReplicas(const PlanState &state, const base::AdapterName &adapter, std::uint32_t model, std::size_t baseEndpoints)
{
    const double rate = requestRate(state, adapter);
    const bool isMoveExpensive = state.document.placement.movePrice > state.document.placement.latenessPrice;
    const bool isPopular = !isMoveExpensive && rate > state.options.popularAdapterShare * state.models[model].requestsPerSecond && rate > 0;
    return isPopular ? baseEndpoints : std::min(isMoveExpensive ? AdapterReplicasAtHighMovePrice : AdapterReplicas, baseEndpoints);
}

/// Loads an adapter on further endpoints that have room, up to a target number of replicas.
void planAdapter(PlanState &state, const configuration::Adapter &adapter, std::uint32_t model, const std::vector<std::uint32_t> &baseEndpoints,
                 std::size_t target, std::uint32_t &allowed)
{
    auto locations = findAdapter(state, adapter.name, baseEndpoints);
    target = std::min(target, baseEndpoints.size());
    if (locations.holders >= target) {
        return;
    }
    for (const auto n : candidateEndpoints(state, adapter, baseEndpoints, locations.zones)) {
        if (locations.holders >= target || allowed == 0) {
            return;
        }
        auto &endpoint = state.endpoints[n];
        endpoint.freeNowMib -= adapter.memoryMib;
        endpoint.adapters.push_back({adapter.name, model, adapter.memoryMib, ResidentState::Arriving});
        ++locations.holders;
        --allowed;
        state.moves.push_back({OrderKind::LoadAdapter,
                               endpoint.view->id,
                               {adapter.model, {}, adapter.name},
                               {},
                               adapter.memoryMib,
                               MoveReason::Adapter,
                               requestRate(state, adapter.name)});
    }
}

bool hasOtherReplica(const PlanState &state, const base::AdapterName &adapter, const std::vector<std::uint32_t> &baseEndpoints, std::uint32_t exceptEndpoint)
{
    for (const auto n : baseEndpoints) {
        const bool isKept = n != exceptEndpoint && !state.leavingAdapters.contains({adapter, n});
        const auto isPresent = [&adapter](const auto &it) {
            return it.adapter == adapter && it.state == ResidentState::Present;
        };
        if (isKept && std::any_of(state.endpoints[n].adapters.begin(), state.endpoints[n].adapters.end(), isPresent)) {
            return true;
        }
    }
    return false;
}

void unloadAdapter(PlanState &state, std::uint32_t n, ResidentAdapter &held, MoveReason reason)
{
    const auto &view = *state.endpoints[n].view;
    if (held.state != ResidentState::Present || !view.acceptsOrders) {
        return;
    }
    held.state = ResidentState::Leaving;
    const auto resident = std::find_if(view.residents.begin(), view.residents.end(), [&held](const auto &it) { return it.first.adapter == held.adapter; });
    if (resident != view.residents.end()) {
        state.moves.push_back({OrderKind::UnloadAdapter, view.id, resident->first, {}, held.memoryMib, reason, 0});
    }
}

/// Frees a slot for a requested adapter that no endpoint holds. Evicts the adapter with the lowest request rate, those with another
/// replica first.
void evictForAdapter(PlanState &state, const configuration::Adapter &adapter, std::uint32_t model, const BaseEndpoints &baseEndpoints)
{
    const double rate = requestRate(state, adapter.name);
    if (rate <= 0 || findAdapter(state, adapter.name, baseEndpoints[model]).holders > 0) {
        return;
    }
    ResidentAdapter *candidate = nullptr;
    std::uint32_t candidateEndpoint = 0;
    std::tuple<bool, double> lowest(true, rate / EvictionRateRatio);
    for (const auto n : baseEndpoints[model]) {
        auto &endpoint = state.endpoints[n];
        const bool isFull = endpoint.adapters.size() >= endpoint.view->adapterSlots;
        if (!isFull || !endpoint.view->acceptsOrders) {
            continue;
        }
        for (auto &held : endpoint.adapters) {
            const bool hasReplica = held.model < baseEndpoints.size() && hasOtherReplica(state, held.adapter, baseEndpoints[held.model], n);
            const std::tuple rank(!hasReplica, requestRate(state, held.adapter));
            if (held.state == ResidentState::Present && rank < lowest) {
                lowest = rank;
                candidate = &held;
                candidateEndpoint = n;
            }
        }
    }
    if (candidate != nullptr) {
        unloadAdapter(state, candidateEndpoint, *candidate, MoveReason::MakeRoom);
    }
}

} // namespace

void planAdapters(PlanState &state)
{
    const auto baseEndpoints = findBaseEndpoints(state);
    for (std::uint32_t n = 0; n < state.endpoints.size(); ++n) {
        for (auto &held : state.endpoints[n].adapters) {
            const bool isConfigured = state.document.adapters.contains(held.adapter);
            if (!isConfigured) {
                unloadAdapter(state, n, held, MoveReason::Removed);
            } else if (state.leavingAdapters.contains({held.adapter, n}) && held.model < baseEndpoints.size()
                       && hasOtherReplica(state, held.adapter, baseEndpoints[held.model], n)) {
                unloadAdapter(state, n, held, MoveReason::MakeRoom);
            }
        }
    }
    auto allowed = state.input.adapterLoadsAllowed;
    // Every adapter gets one replica before any gets a second; adapters with higher request rates come first.
    std::vector<std::pair<const configuration::Adapter *, std::uint32_t>> configured;
    for (const auto &[name, adapter] : state.document.adapters) {
        const auto it = state.modelIndex.find(adapter.model);
        if (it != state.modelIndex.end()) {
            configured.emplace_back(&adapter, it->second);
        }
    }
    std::stable_sort(configured.begin(), configured.end(),
                     [&state](const auto &a, const auto &b) { return requestRate(state, a.first->name) > requestRate(state, b.first->name); });
    for (const auto &[adapter, model] : configured) {
        planAdapter(state, *adapter, model, baseEndpoints[model], 1, allowed);
        evictForAdapter(state, *adapter, model, baseEndpoints);
    }
    for (const auto &[adapter, model] : configured) {
        planAdapter(state, *adapter, model, baseEndpoints[model], targetReplicas(state, adapter->name, model, baseEndpoints[model].size()), allowed);
    }
}

} // namespace turmericplank::placement
