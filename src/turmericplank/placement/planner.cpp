#include "turmericplank/placement/planner.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

#include "planstate.hpp"

namespace turmericplank::placement {
namespace {

/// An endpoint for a new replica and the eviction that it needs.
struct Destination
{
    std::uint32_t endpoint = 0;
    Eviction eviction;
};

bool holdsOldVersion(const PlannedEndpoint &endpoint, std::uint32_t model)
{
    const auto isOld = [model](const auto &it) {
        return it.model == model && !it.isCurrent && it.state == ResidentState::Present;
    };
    return std::any_of(endpoint.models.begin(), endpoint.models.end(), isOld);
}

/// Best endpoint for a replica. Preferred in this order: an endpoint that holds an old version, one with a local copy, a zone without
/// a replica, a cheap eviction, low load and memory use.
std::optional<Destination> findDestination(const PlanState &state, const LoadDistribution &distribution, std::uint32_t model, std::int64_t need, bool mayEvict,
                                           bool needsNewZone)
{
    const auto &perZone = state.replicaList(model).perZone;
    const auto freeStreams = freeStreamsByModel(state, distribution);
    std::optional<Destination> best;
    std::tuple<bool, bool, bool, double, double> bestRank;
    for (std::uint32_t n = 0; n < state.endpoints.size(); ++n) {
        const auto &endpoint = state.endpoints[n];
        const bool isOldZone = perZone[endpoint.zone] > 0;
        const bool isTooLarge = state.models[model].model->memoryMib > endpoint.view->maxLoadMib;
        if (isTooLarge || !state.mayLoad(n, model) || state.hasConfiguredVersion(n, model) || (needsNewZone && isOldZone)) {
            continue;
        }
        Destination destination{n, {}};
        if (endpoint.freeAfterUnloadsMib < need) {
            destination.eviction = mayEvict ? findEviction(state, distribution, freeStreams, n, need) : Eviction();
            if (!destination.eviction.isPossible) {
                continue;
            }
        }
        const double capacity = std::max(1U, endpoint.view->concurrency);
        const double fullness = 1.0 - static_cast<double>(endpoint.freeAfterUnloadsMib) / std::max(1U, endpoint.view->capacityMib);
        const std::tuple rank(!holdsOldVersion(endpoint, model), !state.hasLocalCopy(n, model), isOldZone, destination.eviction.loss,
                              distribution.load[n] / capacity + fullness);
        if (!best || rank < bestRank) {
            best = destination;
            bestRank = rank;
        }
    }
    return best;
}

void placeReplica(PlanState &state, const Destination &destination, std::uint32_t model, MoveReason reason, double gain)
{
    for (const auto held : destination.eviction.held) {
        state.unload(destination.endpoint, held, MoveReason::MakeRoom, gain);
    }
    state.load(destination.endpoint, model, reason, gain);
}

/// Models in descending order of the price of the requests that are late without a replica.
std::vector<std::uint32_t> byLatePrice(const PlanState &state)
{
    std::vector<std::uint32_t> order(state.models.size());
    std::iota(order.begin(), order.end(), 0U);
    const auto price = [&state](std::uint32_t n) {
        return state.models[n].streams * state.models[n].latePrice;
    };
    std::stable_sort(order.begin(), order.end(), [&price](auto a, auto b) { return price(a) > price(b); });
    return order;
}

/// Loads models that have no replica, or fewer than the configured minimum.
void planMissingReplicas(PlanState &state, MoveReason reason)
{
    for (const auto model : byLatePrice(state)) {
        const auto &existing = state.replicas(model);
        const bool isMissing = reason == MoveReason::Unreachable ? existing.empty() : existing.size() < state.minReplicas(model);
        if (!isMissing) {
            continue;
        }
        const auto distribution = distributeLoad(distributionInput(state), 1);
        const double gain = std::max(1.0, state.models[model].streams) * state.models[model].latePrice;
        auto destination = findDestination(state, distribution, model, state.requiredMemory(model), false, true);
        if (!destination) {
            destination = findDestination(state, distribution, model, state.requiredMemory(model), true, false);
        }
        if (!destination && reason == MoveReason::Unreachable) {
            destination = findDestination(state, distribution, model, state.models[model].model->memoryMib, true, false);
        }
        if (destination) {
            placeReplica(state, *destination, model, reason, gain);
        }
    }
}

/// Loads replicas in further zones where no eviction is needed.
void planSpread(PlanState &state)
{
    for (const auto model : byLatePrice(state)) {
        const std::size_t wanted = std::min(state.document.placement.spreadZones, state.zoneCount);
        if (state.replicaList(model).zones() >= wanted) {
            continue;
        }
        const auto destination = findDestination(state, distributeLoad(distributionInput(state), 1), model, state.requiredMemory(model), false, true);
        if (destination) {
            placeReplica(state, *destination, model, MoveReason::Spread, state.models[model].latePrice);
        }
    }
}

/// Replicas of a model by version.
struct VersionCount
{
    std::size_t current = 0;
    std::size_t currentPresent = 0;
    std::vector<std::pair<std::uint32_t, std::size_t>> old; ///< endpoint and index in its list of models
};

VersionCount countVersions(const PlanState &state, std::uint32_t model)
{
    VersionCount count;
    for (std::uint32_t n = 0; n < state.endpoints.size(); ++n) {
        for (std::size_t index = 0; index < state.endpoints[n].models.size(); ++index) {
            const auto &held = state.endpoints[n].models[index];
            if (held.model != model || held.state == ResidentState::Leaving) {
                continue;
            }
            if (held.isCurrent) {
                ++count.current;
                count.currentPresent += held.state == ResidentState::Present ? 1 : 0;
            } else if (held.state == ResidentState::Present) {
                count.old.emplace_back(n, index);
            }
        }
    }
    return count;
}

/// Replicas that the demand needs at half utilization, plus one. Further replicas need not be updated to the new version.
std::size_t neededReplicas(const PlanState &state, std::uint32_t model)
{
    double concurrency = 0;
    for (const auto &endpoint : state.endpoints) {
        concurrency += endpoint.view->concurrency;
    }
    const double mean = std::max(1.0, concurrency / std::max<double>(1.0, static_cast<double>(state.endpoints.size())));
    return 1 + static_cast<std::size_t>(std::ceil(state.models[model].streams / (mean / 2)));
}

/// Updates the replicas to the configured version one by one; a new replica is loaded before an old one is unloaded. If no endpoint can
/// take the new version and there are several old replicas, one of them is unloaded first.
void planVersion(PlanState &state, std::uint32_t model)
{
    auto count = countVersions(state, model);
    if (count.old.empty()) {
        return;
    }
    const auto target = std::max({state.minReplicas(model), std::min(count.old.size(), neededReplicas(state, model)), count.current});
    while (!count.old.empty() && count.currentPresent > 0 && count.old.size() + count.currentPresent > target) {
        state.unload(count.old.back().first, count.old.back().second, MoveReason::Version, 0);
        count.old.pop_back();
    }
    if (count.current >= target || !state.hasMovesLeft() || count.current > count.currentPresent) {
        return;
    }
    const auto distribution = distributeLoad(distributionInput(state), 1);
    auto destination = findDestination(state, distribution, model, state.requiredMemory(model), true, false);
    if (!destination) {
        destination = findDestination(state, distribution, model, state.models[model].model->memoryMib, true, false);
    }
    if (destination) {
        placeReplica(state, *destination, model, MoveReason::Version, state.models[model].latePrice);
    } else if (count.old.size() > 1) {
        state.unload(count.old.back().first, count.old.back().second, MoveReason::Version, 0);
    }
}

/// Unloads models that are no longer configured.
void planRemoved(PlanState &state)
{
    for (std::uint32_t n = 0; n < state.endpoints.size(); ++n) {
        for (std::size_t held = 0; held < state.endpoints[n].models.size(); ++held) {
            const auto &it = state.endpoints[n].models[held];
            if (it.model == UINT32_MAX && it.state == ResidentState::Present) {
                state.unload(n, held, MoveReason::Removed, 0);
            }
        }
    }
}

/// Sets the configured roles.
void planRoles(PlanState &state)
{
    for (const auto &endpoint : state.endpoints) {
        const auto it = state.document.endpoints.find(endpoint.view->id);
        const bool hasOtherRole = it != state.document.endpoints.end() && !endpoint.view->role.empty() && endpoint.view->role != it->second.role;
        if (hasOtherRole && endpoint.view->acceptsOrders) {
            state.moves.push_back({OrderKind::SetRole, endpoint.view->id, {}, it->second.role, 0, MoveReason::Role, 0});
        }
    }
}

} // namespace

std::string_view toString(MoveReason reason)
{
    switch (reason) {
    case MoveReason::Unreachable:
        return "unreachable";
    case MoveReason::Minimum:
        return "minimum";
    case MoveReason::Spread:
        return "spread";
    case MoveReason::Demand:
        return "demand";
    case MoveReason::Version:
        return "version";
    case MoveReason::Removed:
        return "removed";
    case MoveReason::Unlock:
        return "unlock";
    case MoveReason::MakeRoom:
        return "make_room";
    case MoveReason::Adapter:
        return "adapter";
    case MoveReason::Role:
        return "role";
    }
    return "demand";
}

std::vector<Move> planAdapterMoves(const PlanInput &input, const PlannerOptions &options)
{
    PlanState state(input, options);
    planAdapters(state);
    return std::move(state.moves);
}

std::vector<Move> plan(const PlanInput &input, const PlannerOptions &options)
{
    PlanState state(input, options);
    planRoles(state);
    planRemoved(state);
    planMissingReplicas(state, MoveReason::Unreachable);
    planMissingReplicas(state, MoveReason::Minimum);
    for (std::uint32_t model = 0; model < state.models.size(); ++model) {
        planVersion(state, model);
    }
    planDemand(state);
    planSpread(state);
    planAdapters(state);
    return std::move(state.moves);
}

} // namespace turmericplank::placement
