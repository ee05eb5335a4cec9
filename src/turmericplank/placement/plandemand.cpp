#include <algorithm>
#include <limits>

#include "planstate.hpp"

namespace turmericplank::placement {

namespace {

constexpr unsigned DistributionIterations = 4;
constexpr double MinShortage = 0.05; // streams; smaller shortages are ignored
constexpr std::size_t MaxModelsTried = 4; // the models with the most expensive shortages
constexpr double StoreLoadShare = 0.7; // share of the horizon that remains after a load from the weight store has finished
constexpr std::size_t MaxEndpointsTried = 12; // the endpoints with the most free streams

/// A possible load with the eviction that it needs.
struct Candidate
{
    std::uint32_t model = 0;
    std::uint32_t endpoint = 0;
    Eviction eviction;
    double value = 0;
    bool isFound = false;
};

double freeStreamsOn(const LoadDistributionInput &input, const LoadDistribution &distribution, std::uint32_t endpoint)
{
    return std::max(0.0, input.capacity[endpoint] - distribution.load[endpoint]);
}

/// Streams that should move to another replica of a model: on each of its endpoints the streams beyond capacity, up to the model's own
/// streams there. An overload by other models counts too, because moving this model's streams relieves them. All streams of the model
/// if it has no replica.
double overloadedStreams(const LoadDistributionInput &input, const LoadDistribution &distribution, std::uint32_t model)
{
    double streams = input.replicas[model].empty() ? input.demand[model] : 0;
    for (std::size_t n = 0; n < input.replicas[model].size(); ++n) {
        const auto endpoint = input.replicas[model][n];
        const double excess = distribution.load[endpoint] - input.capacity[endpoint];
        streams += std::clamp(excess, 0.0, distribution.shares[model][n]);
    }
    return streams;
}

/// Up to count indexes below size with the highest positive ranks, in descending order of rank.
template<typename Rank>
std::vector<std::uint32_t> topRanked(std::size_t size, std::size_t count, const Rank &rank)
{
    std::vector<std::pair<double, std::uint32_t>> ranked;
    for (std::uint32_t n = 0; n < size; ++n) {
        const double value = rank(n);
        if (value > 0) {
            ranked.emplace_back(-value, n);
        }
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end());
    std::vector<std::uint32_t> found;
    for (auto it = ranked.begin(); it != end; ++it) {
        found.push_back(it->second);
    }
    return found;
}

std::vector<std::uint32_t> endpointsWithMostFreeStreams(const LoadDistributionInput &input, const LoadDistribution &distribution)
{
    return topRanked(input.capacity.size(), MaxEndpointsTried, [&](std::uint32_t n) { return freeStreamsOn(input, distribution, n); });
}

std::vector<std::uint32_t> mostExpensiveShortages(const PlanState &state, const LoadDistributionInput &input, const LoadDistribution &distribution)
{
    return topRanked(state.models.size(), MaxModelsTried, [&](std::uint32_t n) {
        const double streams = overloadedStreams(input, distribution, n);
        return streams < MinShortage ? 0.0 : streams * state.models[n].latePrice;
    });
}

/// Replaces the best candidate if a load of the model on one of the endpoints is worth more.
void evaluateLoads(const PlanState &state, const LoadDistributionInput &input, const LoadDistribution &distribution, const std::vector<double> &freeStreams,
                   const std::vector<std::uint32_t> &endpoints, std::uint32_t model, Candidate &best)
{
    const auto &policy = state.document.placement;
    const double overloaded = overloadedStreams(input, distribution, model);
    for (const auto endpoint : endpoints) {
        if (state.models[model].model->memoryMib > state.endpoints[endpoint].view->maxLoadMib) {
            continue;
        }
        const double effectiveShare = state.hasLocalCopy(endpoint, model) ? 1 : StoreLoadShare;
        const double saved = std::min(overloaded, freeStreamsOn(input, distribution, endpoint)) * state.models[model].latePrice * effectiveShare;
        const bool isExcluded = !state.mayLoad(endpoint, model) || state.hasConfiguredVersion(endpoint, model);
        if (saved - policy.movePrice <= std::max(0.0, best.value) || isExcluded) {
            continue;
        }
        Candidate candidate{model, endpoint, {}, saved - policy.movePrice, true};
        if (state.endpoints[endpoint].freeAfterUnloadsMib < state.requiredMemory(model)) {
            candidate.eviction = findEviction(state, distribution, freeStreams, endpoint, state.requiredMemory(model));
            if (!candidate.eviction.isPossible) {
                continue;
            }
            candidate.value -= candidate.eviction.loss;
        }
        if (candidate.value > std::max(0.0, best.value)) {
            best = candidate;
        }
    }
}

} // namespace

std::vector<double> freeStreamsByModel(const PlanState &state, const LoadDistribution &distribution)
{
    std::vector<double> freeStreams(state.models.size(), 0.0);
    for (std::uint32_t model = 0; model < freeStreams.size(); ++model) {
        for (const auto endpoint : state.replicas(model)) {
            freeStreams[model] += std::max(0.0, state.endpoints[endpoint].view->concurrency - distribution.load[endpoint]);
        }
    }
    return freeStreams;
}

Eviction findEviction(const PlanState &state, const LoadDistribution &distribution, const std::vector<double> &freeStreams, std::uint32_t endpoint,
                      std::int64_t memoryMib)
{
    struct EvictionCandidate
    {
        std::size_t held;
        double loss;
        std::int64_t memoryMib;
    };
    const auto &target = state.endpoints[endpoint];
    const auto &policy = state.document.placement;
    std::vector<EvictionCandidate> candidates;
    for (std::size_t n = 0; n < target.models.size(); ++n) {
        const auto &held = target.models[n];
        if (held.model == UINT32_MAX || held.state != ResidentState::Present || held.isPlanned || !target.view->acceptsOrders) {
            continue;
        }
        // Only present replicas count, because an arriving one does not serve yet.
        const auto &list = state.replicaList(held.model);
        if (list.present < state.minReplicas(held.model) + 1) {
            continue;
        }
        // The streams of the evicted replica move to the model's other replicas; those that do not fit there are late.
        const auto index = static_cast<std::size_t>(std::lower_bound(list.endpoints.begin(), list.endpoints.end(), endpoint) - list.endpoints.begin());
        const double share = index < distribution.shares[held.model].size() ? distribution.shares[held.model][index] : 0;
        const double elsewhere = freeStreams[held.model] - std::max(0.0, target.view->concurrency - distribution.load[endpoint]);
        double loss = policy.movePrice + std::max(0.0, share - elsewhere) * state.models[held.model].latePrice;
        const bool breaksSpread = list.perZone[target.zone] == 1 && list.zones() <= policy.spreadZones;
        loss += breaksSpread ? 2 * policy.movePrice : 0;
        for (const auto &adapter : target.adapters) {
            loss += adapter.model == held.model ? 2 * policy.movePrice : 0;
        }
        candidates.push_back({n, loss, state.requiredMemory(held.model)});
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) { return a.loss < b.loss; });
    Eviction eviction;
    auto free = target.freeAfterUnloadsMib;
    for (const auto &candidate : candidates) {
        if (free >= memoryMib) {
            break;
        }
        free += candidate.memoryMib;
        eviction.loss += candidate.loss;
        eviction.held.push_back(candidate.held);
    }
    eviction.isPossible = free >= memoryMib;
    return eviction;
}

void planDemand(PlanState &state)
{
    auto input = distributionInput(state);
    auto distribution = distributeLoad(input, DistributionIterations);
    while (state.hasMovesLeft()) {
        Candidate best;
        const auto freeStreams = freeStreamsByModel(state, distribution);
        const auto endpoints = endpointsWithMostFreeStreams(input, distribution);
        for (const auto model : mostExpensiveShortages(state, input, distribution)) {
            evaluateLoads(state, input, distribution, freeStreams, endpoints, model, best);
        }
        if (!best.isFound || best.value <= 0) {
            return;
        }
        for (const auto held : best.eviction.held) {
            state.unload(best.endpoint, held, MoveReason::MakeRoom, best.value);
        }
        state.load(best.endpoint, best.model, MoveReason::Demand, best.value);
        input = distributionInput(state);
        distribution = distributeLoad(input, DistributionIterations);
    }
}

} // namespace turmericplank::placement
