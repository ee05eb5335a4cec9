#include "turmericplank/placement/loaddistribution.hpp"

#include <algorithm>
#include <numeric>

namespace turmericplank::placement {

namespace {

/// Utilisation to which the replicas fill up if a model's streams are poured on top of the other load.
double fillLevel(const LoadDistributionInput &input, const std::vector<std::uint32_t> &replicas, const std::vector<double> &other, double streams)
{
    std::vector<std::pair<double, double>> levels; // utilisation by others, capacity
    for (std::size_t n = 0; n < replicas.size(); ++n) {
        const double capacity = input.capacity[replicas[n]];
        levels.emplace_back(other[n] / capacity, capacity);
    }
    std::sort(levels.begin(), levels.end());
    double capacity = 0;
    double poured = streams;
    for (std::size_t n = 0; n < levels.size(); ++n) {
        capacity += levels[n].second;
        poured += levels[n].first * levels[n].second;
        const double level = poured / capacity;
        if (n + 1 == levels.size() || level <= levels[n + 1].first) {
            return level;
        }
    }
    return 0;
}

} // namespace

void rebalance(const LoadDistributionInput &input, std::uint32_t model, LoadDistribution &result)
{
    const auto &replicas = input.replicas[model];
    auto &shares = result.shares[model];
    shares.resize(replicas.size(), 0.0);
    if (replicas.empty()) {
        return;
    }
    std::vector<double> other(replicas.size());
    for (std::size_t n = 0; n < replicas.size(); ++n) {
        other[n] = std::max(0.0, result.load[replicas[n]] - shares[n]);
    }
    const double level = fillLevel(input, replicas, other, input.demand[model]);
    for (std::size_t n = 0; n < replicas.size(); ++n) {
        shares[n] = std::max(0.0, level * input.capacity[replicas[n]] - other[n]);
        result.load[replicas[n]] = other[n] + shares[n];
    }
}

void countUnserved(const LoadDistributionInput &input, LoadDistribution &result)
{
    for (std::size_t model = 0; model < input.demand.size(); ++model) {
        const auto &replicas = input.replicas[model];
        result.unserved[model] = replicas.empty() ? input.demand[model] : 0;
        for (std::size_t n = 0; n < replicas.size(); ++n) {
            const double load = result.load[replicas[n]];
            const double over = load - input.capacity[replicas[n]];
            if (over > 0) {
                result.unserved[model] += over * result.shares[model][n] / load;
            }
        }
    }
}

LoadDistribution distributeLoad(const LoadDistributionInput &input, unsigned rounds)
{
    LoadDistribution result;
    result.load.assign(input.capacity.size(), 0.0);
    result.shares.resize(input.demand.size());
    result.unserved.assign(input.demand.size(), 0.0);
    std::vector<std::uint32_t> order(input.demand.size());
    std::iota(order.begin(), order.end(), 0U);
    // Models with few replicas choose first: the others can avoid them.
    std::stable_sort(order.begin(), order.end(), [&input](auto a, auto b) { return input.replicas[a].size() < input.replicas[b].size(); });
    for (unsigned round = 0; round < rounds; ++round) {
        for (const auto model : order) {
            rebalance(input, model, result);
        }
    }
    countUnserved(input, result);
    return result;
}

} // namespace turmericplank::placement
