#include <algorithm>
#include <tuple>

#include "planstate.hpp"

namespace turmericplank::placement {

namespace {

constexpr std::size_t AdapterReplicas = 2;
constexpr double YieldShare = 2; // times less asked for, so that two adapters do not take turns
constexpr std::size_t DearAdapterReplicas = 1; // where a move costs more than a late request: a lost one loads again in milliseconds

bool holdsAdapter(const HeldEndpoint &endpoint, const base::AdapterName &adapter)
{
    const auto isSame = [&adapter](const auto &it) {
        return it.adapter == adapter;
    };
    return std::any_of(endpoint.adapters.begin(), endpoint.adapters.end(), isSame);
}

/// Endpoints that hold each model, by the model's index: an adapter is nowhere else.
using Bases = std::vector<std::vector<std::uint32_t>>;

Bases basesOf(const PlanState &state)
{
    Bases bases(state.models.size());
    for (std::uint32_t n = 0; n < state.endpoints.size(); ++n) {
        for (const auto &held : state.endpoints[n].models) {
            const bool isKnown = held.model < bases.size();
            if (isKnown && held.state == ResidentState::Present && (bases[held.model].empty() || bases[held.model].back() != n)) {
                bases[held.model].push_back(n);
            }
        }
    }
    return bases;
}

/// Endpoints with the base model where an adapter could go, those of zones that do not have it yet first.
std::vector<std::uint32_t> placesFor(const PlanState &state, const configuration::Adapter &adapter, const std::vector<std::uint32_t> &bases,
                                     const std::set<base::ZoneName> &zones)
{
    std::vector<std::uint32_t> places;
    for (const auto n : bases) {
        const auto &endpoint = state.endpoints[n];
        const bool hasRoom = endpoint.freeNow >= std::int64_t(adapter.memoryMib);
        const bool hasSlot = endpoint.adapters.size() < endpoint.view->adapterSlots;
        if (endpoint.view->acceptsOrders && hasRoom && hasSlot && !holdsAdapter(endpoint, adapter.name)) {
            places.push_back(n);
        }
    }
    const auto rank = [&](std::uint32_t n) {
        const auto &endpoint = state.endpoints[n];
        return std::pair(zones.contains(endpoint.view->zone), endpoint.adapters.size());
    };
    std::stable_sort(places.begin(), places.end(), [&rank](auto a, auto b) { return rank(a) < rank(b); });
    return places;
}

/// Where one adapter is.
struct Copies
{
    std::set<base::ZoneName> zones;
    std::size_t holders = 0;
};

Copies copiesOf(const PlanState &state, const base::AdapterName &adapter, const std::vector<std::uint32_t> &bases)
{
    Copies copies;
    for (const auto n : bases) {
        for (const auto &held : state.endpoints[n].adapters) {
            if (held.adapter == adapter && held.state != ResidentState::Leaving && !state.leavingAdapters.contains({adapter, n})) {
                copies.zones.insert(state.endpoints[n].view->zone);
                ++copies.holders;
            }
        }
    }
    return copies;
}

double rateOf(const PlanState &state, const base::AdapterName &adapter)
{
    const auto demand = state.input.demand.adapters.find(adapter);
    return demand == state.input.demand.adapters.end() ? 0 : demand->second;
}

std::size_t wantedCopies(const PlanState &state, const base::AdapterName &adapter, std::uint32_t model, std::size_t bases)
{
    const double rate = rateOf(state, adapter);
    const bool isDear = state.document.placement.movePrice > state.document.placement.latenessPrice;
    const bool isPopular = !isDear && rate > state.options.adapterShare * state.models[model].requestsPerSecond && rate > 0;
    return isPopular ? bases : std::min(isDear ? DearAdapterReplicas : AdapterReplicas, bases);
}

/// Adds copies of one adapter where there is room, up to a number of them.
void planAdapter(PlanState &state, const configuration::Adapter &adapter, std::uint32_t model, const std::vector<std::uint32_t> &bases, std::size_t target,
                 std::uint32_t &allowed)
{
    auto copies = copiesOf(state, adapter.name, bases);
    target = std::min(target, bases.size());
    if (copies.holders >= target) {
        return;
    }
    for (const auto n : placesFor(state, adapter, bases, copies.zones)) {
        if (copies.holders >= target || allowed == 0) {
            return;
        }
        auto &endpoint = state.endpoints[n];
        endpoint.freeNow -= adapter.memoryMib;
        endpoint.adapters.push_back({adapter.name, model, adapter.memoryMib, ResidentState::Arriving});
        ++copies.holders;
        --allowed;
        state.moves.push_back({OrderKind::LoadAdapter,
                               endpoint.view->id,
                               {adapter.model, {}, adapter.name},
                               {},
                               adapter.memoryMib,
                               MoveReason::Adapter,
                               rateOf(state, adapter.name)});
    }
}

bool isElsewhere(const PlanState &state, const base::AdapterName &adapter, const std::vector<std::uint32_t> &bases, std::uint32_t except)
{
    for (const auto n : bases) {
        const bool mayStay = n != except && !state.leavingAdapters.contains({adapter, n});
        const auto isPresent = [&adapter](const auto &it) {
            return it.adapter == adapter && it.state == ResidentState::Present;
        };
        if (mayStay && std::any_of(state.endpoints[n].adapters.begin(), state.endpoints[n].adapters.end(), isPresent)) {
            return true;
        }
    }
    return false;
}

void unloadAdapter(PlanState &state, std::uint32_t n, HeldAdapter &held, MoveReason reason)
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

/// Frees a slot for an adapter that is asked for and is nowhere: what is least asked for yields, spare copies first.
void makeSlot(PlanState &state, const configuration::Adapter &adapter, std::uint32_t model, const Bases &bases)
{
    const double rate = rateOf(state, adapter.name);
    if (rate <= 0 || copiesOf(state, adapter.name, bases[model]).holders > 0) {
        return;
    }
    HeldAdapter *victim = nullptr;
    std::uint32_t at = 0;
    std::tuple<bool, double> lowest(true, rate / YieldShare);
    for (const auto n : bases[model]) {
        auto &endpoint = state.endpoints[n];
        const bool isFull = endpoint.adapters.size() >= endpoint.view->adapterSlots;
        if (!isFull || !endpoint.view->acceptsOrders) {
            continue;
        }
        for (auto &held : endpoint.adapters) {
            const bool isSpare = held.model < bases.size() && isElsewhere(state, held.adapter, bases[held.model], n);
            const std::tuple rank(!isSpare, rateOf(state, held.adapter));
            if (held.state == ResidentState::Present && rank < lowest) {
                lowest = rank;
                victim = &held;
                at = n;
            }
        }
    }
    if (victim != nullptr) {
        unloadAdapter(state, at, *victim, MoveReason::MakeRoom);
    }
}

} // namespace

void planAdapters(PlanState &state)
{
    const auto bases = basesOf(state);
    for (std::uint32_t n = 0; n < state.endpoints.size(); ++n) {
        for (auto &held : state.endpoints[n].adapters) {
            const bool isConfigured = state.document.adapters.contains(held.adapter);
            if (!isConfigured) {
                unloadAdapter(state, n, held, MoveReason::Removed);
            } else if (state.leavingAdapters.contains({held.adapter, n}) && held.model < bases.size()
                       && isElsewhere(state, held.adapter, bases[held.model], n)) {
                unloadAdapter(state, n, held, MoveReason::MakeRoom);
            }
        }
    }
    auto allowed = state.input.adapterLoadsAllowed;
    // One copy of each adapter comes before a second one of any, and the asked for before the others.
    std::vector<std::pair<const configuration::Adapter *, std::uint32_t>> wanted;
    for (const auto &[name, adapter] : state.document.adapters) {
        const auto it = state.modelIndex.find(adapter.model);
        if (it != state.modelIndex.end()) {
            wanted.emplace_back(&adapter, it->second);
        }
    }
    std::stable_sort(wanted.begin(), wanted.end(),
                     [&state](const auto &a, const auto &b) { return rateOf(state, a.first->name) > rateOf(state, b.first->name); });
    for (const auto &[adapter, model] : wanted) {
        planAdapter(state, *adapter, model, bases[model], 1, allowed);
        makeSlot(state, *adapter, model, bases);
    }
    for (const auto &[adapter, model] : wanted) {
        planAdapter(state, *adapter, model, bases[model], wantedCopies(state, adapter->name, model, bases[model].size()), allowed);
    }
}

} // namespace turmericplank::placement
