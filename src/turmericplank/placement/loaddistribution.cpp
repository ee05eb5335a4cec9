#include "turmericplank/placement/loaddistribution.hpp"

#include <algorithm>
#include <numeric>

namespace turmericplank::placement {

namespace {

/// Utilization that a model's streams reach if they are added to the least utilized of its replicas first, on top of the load of the
/// other models (water filling).
double commonUtilization(const LoadDistributionInput &input, const std::vector<std::uint32_t> &replicas, const std::vector<double> &otherLoad, double streams)
{
    std::vector<std::pair<double, double>> levels; // utilization by other models, capacity
    for (std::size_t n = 0; n < replicas.size(); ++n) {
        const double capacity = input.capacity[replicas[n]];
        levels.emplace_back(otherLoad[n] / capacity, capacity);
    }
    std::sort(levels.begin(), levels.end());
    double capacity = 0;
    double total = streams;
    for (std::size_t n = 0; n < levels.size(); ++n) {
        capacity += levels[n].second;
        total += levels[n].first * levels[n].second;
        const double utilization = total / capacity;
        if (n + 1 == levels.size() || utilization <= levels[n + 1].first) {
            return utilization;
        }
    }
    return 0;
}

} // namespace

void redistributeModel(const LoadDistributionInput &input, std::uint32_t model, LoadDistribution &result)
{
    const auto &replicas = input.replicas[model];
    auto &shares = result.shares[model];
    shares.resize(replicas.size(), 0.0);
    if (replicas.empty()) {
        return;
    }
    std::vector<double> otherLoad(replicas.size());
    for (std::size_t n = 0; n < replicas.size(); ++n) {
        otherLoad[n] = std::max(0.0, result.load[replicas[n]] - shares[n]);
    }
    const double utilization = commonUtilization(input, replicas, otherLoad, input.demand[model]);
    for (std::size_t n = 0; n < replicas.size(); ++n) {
        shares[n] = std::max(0.0, utilization * input.capacity[replicas[n]] - otherLoad[n]);
        result.load[replicas[n]] = otherLoad[n] + shares[n];
    }
}

void computeUnserved(const LoadDistributionInput &input, LoadDistribution &result)
{
    for (std::size_t model = 0; model < input.demand.size(); ++model) {
        const auto &replicas = input.replicas[model];
        result.unserved[model] = replicas.empty() ? input.demand[model] : 0;
        for (std::size_t n = 0; n < replicas.size(); ++n) {
            const double load = result.load[replicas[n]];
            const double excess = load - input.capacity[replicas[n]];
            if (excess > 0) {
                result.unserved[model] += excess * result.shares[model][n] / load;
            }
        }
    }
}

LoadDistribution distributeLoad(const LoadDistributionInput &input, unsigned iterations)
{
    LoadDistribution result;
    result.load.assign(input.capacity.size(), 0.0);
    result.shares.resize(input.demand.size());
    result.unserved.assign(input.demand.size(), 0.0);
    std::vector<std::uint32_t> order(input.demand.size());
    std::iota(order.begin(), order.end(), 0U);
    // Models with few replicas are distributed first, because models with more replicas can then avoid the loaded endpoints.
    std::stable_sort(order.begin(), order.end(), [&input](auto a, auto b) { return input.replicas[a].size() < input.replicas[b].size(); });
    for (unsigned n = 0; n < iterations; ++n) {
        for (const auto model : order) {
            redistributeModel(input, model, result);
        }
    }
    computeUnserved(input, result);
    return result;
}

} // namespace turmericplank::placement
