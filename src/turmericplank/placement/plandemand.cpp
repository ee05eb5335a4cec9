#include <algorithm>
#include <limits>

#include "planstate.hpp"

namespace turmericplank::placement {

namespace {

constexpr unsigned Rounds = 4;
constexpr double SmallestShortage = 0.05; // streams
constexpr std::size_t ModelsTried = 4; // those with the dearest shortage
constexpr double StoreLoadShare = 0.7; // of the horizon that is left once a load from the weight store has ended
constexpr std::size_t EndpointsTried = 12; // those with most free streams

struct Candidate
{
    std::uint32_t model = 0;
    std::uint32_t endpoint = 0;
    Eviction eviction;
    double value = 0;
    bool isFound = false;
};

double slack(const LoadDistributionInput &input, const LoadDistribution &spread, std::uint32_t endpoint)
{
    return std::max(0.0, input.capacity[endpoint] - spread.load[endpoint]);
}

/// Streams beyond capacity on the endpoints of a model, its own and those of its neighbours that it could make room for.
double relief(const LoadDistributionInput &input, const LoadDistribution &spread, std::uint32_t model)
{
    double streams = input.replicas[model].empty() ? input.demand[model] : 0;
    for (std::size_t n = 0; n < input.replicas[model].size(); ++n) {
        const auto endpoint = input.replicas[model][n];
        const double over = spread.load[endpoint] - input.capacity[endpoint];
        streams += std::clamp(over, 0.0, spread.shares[model][n]);
    }
    return streams;
}

/// The first few of some indexes, those of the highest rank.
template<typename Rank>
std::vector<std::uint32_t> highest(std::size_t size, std::size_t count, const Rank &rank)
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

std::vector<std::uint32_t> roomiest(const LoadDistributionInput &input, const LoadDistribution &spread)
{
    return highest(input.capacity.size(), EndpointsTried, [&](std::uint32_t n) { return slack(input, spread, n); });
}

std::vector<std::uint32_t> dearestShortages(const PlanState &state, const LoadDistributionInput &input, const LoadDistribution &spread)
{
    return highest(state.models.size(), ModelsTried, [&](std::uint32_t n) {
        const double streams = relief(input, spread, n);
        return streams < SmallestShortage ? 0.0 : streams * state.models[n].latePrice;
    });
}

void consider(const PlanState &state, const LoadDistributionInput &input, const LoadDistribution &spread, const std::vector<double> &room,
              const std::vector<std::uint32_t> &endpoints, std::uint32_t model, Candidate &best)
{
    const auto &policy = state.document.placement;
    const double wanted = relief(input, spread, model);
    for (const auto endpoint : endpoints) {
        if (state.models[model].model->memoryMib > state.endpoints[endpoint].view->loadLimitMib) {
            continue;
        }
        const double takesEffect = state.isAtHand(endpoint, model) ? 1 : StoreLoadShare;
        const double saved = std::min(wanted, slack(input, spread, endpoint)) * state.models[model].latePrice * takesEffect;
        const bool isRuledOut = !state.mayLoad(endpoint, model) || state.isTaken(endpoint, model);
        if (saved - policy.movePrice <= std::max(0.0, best.value) || isRuledOut) {
            continue;
        }
        Candidate candidate{model, endpoint, {}, saved - policy.movePrice, true};
        if (state.endpoints[endpoint].freeSoon < state.need(model)) {
            candidate.eviction = findEviction(state, spread, room, endpoint, state.need(model));
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

std::vector<double> roomOfModels(const PlanState &state, const LoadDistribution &spread)
{
    std::vector<double> room(state.models.size(), 0.0);
    for (std::uint32_t model = 0; model < room.size(); ++model) {
        for (const auto endpoint : state.replicas(model)) {
            room[model] += std::max(0.0, state.endpoints[endpoint].view->concurrency - spread.load[endpoint]);
        }
    }
    return room;
}

Eviction findEviction(const PlanState &state, const LoadDistribution &spread, const std::vector<double> &room, std::uint32_t endpoint, std::int64_t memoryMib)
{
    struct Victim
    {
        std::size_t held;
        double loss;
        std::int64_t memoryMib;
    };
    const auto &target = state.endpoints[endpoint];
    const auto &policy = state.document.placement;
    std::vector<Victim> victims;
    for (std::size_t n = 0; n < target.models.size(); ++n) {
        const auto &held = target.models[n];
        if (held.model == UINT32_MAX || held.state != ResidentState::Present || held.isPlanned || !target.view->acceptsOrders) {
            continue;
        }
        // A replica that is still arriving does not serve yet.
        const auto &list = state.replicaList(held.model);
        if (list.present < state.floor(held.model) + 1) {
            continue;
        }
        // Without it the streams on this endpoint have to find room elsewhere.
        const auto index = static_cast<std::size_t>(std::lower_bound(list.endpoints.begin(), list.endpoints.end(), endpoint) - list.endpoints.begin());
        const double share = index < spread.shares[held.model].size() ? spread.shares[held.model][index] : 0;
        const double elsewhere = room[held.model] - std::max(0.0, target.view->concurrency - spread.load[endpoint]);
        double loss = policy.movePrice + std::max(0.0, share - elsewhere) * state.models[held.model].latePrice;
        const bool breaksSpread = list.perZone[target.zone] == 1 && list.zones() <= policy.spreadZones;
        loss += breaksSpread ? 2 * policy.movePrice : 0;
        for (const auto &adapter : target.adapters) {
            loss += adapter.model == held.model ? 2 * policy.movePrice : 0;
        }
        victims.push_back({n, loss, state.need(held.model)});
    }
    std::sort(victims.begin(), victims.end(), [](const auto &a, const auto &b) { return a.loss < b.loss; });
    Eviction eviction;
    auto free = target.freeSoon;
    for (const auto &victim : victims) {
        if (free >= memoryMib) {
            break;
        }
        free += victim.memoryMib;
        eviction.loss += victim.loss;
        eviction.held.push_back(victim.held);
    }
    eviction.isPossible = free >= memoryMib;
    return eviction;
}

void planDemand(PlanState &state)
{
    auto input = balanceInput(state);
    auto spread = distributeLoad(input, Rounds);
    while (state.hasMovesLeft()) {
        Candidate best;
        const auto room = roomOfModels(state, spread);
        const auto endpoints = roomiest(input, spread);
        for (const auto model : dearestShortages(state, input, spread)) {
            consider(state, input, spread, room, endpoints, model, best);
        }
        if (!best.isFound || best.value <= 0) {
            return;
        }
        for (const auto held : best.eviction.held) {
            state.unload(best.endpoint, held, MoveReason::MakeRoom, best.value);
        }
        state.load(best.endpoint, best.model, MoveReason::Demand, best.value);
        input = balanceInput(state);
        spread = distributeLoad(input, Rounds);
    }
}

} // namespace turmericplank::placement
