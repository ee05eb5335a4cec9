#pragma once

#include <cstdint>
#include <vector>

namespace turmericplank::placement {

/// @brief Streams of models, and the endpoints that may serve each; both are named by index.
struct LoadDistributionInput
{
    std::vector<double> demand; ///< streams of each model
    std::vector<std::vector<std::uint32_t>> replicas; ///< endpoints of each model
    std::vector<double> capacity; ///< streams that each endpoint serves at full speed
};

/// @brief How the streams spread if each goes where there is most room.
struct LoadDistribution
{
    std::vector<double> load; ///< streams on each endpoint
    std::vector<std::vector<double>> shares; ///< streams of each model on each of its replicas
    std::vector<double> unserved; ///< streams of each model beyond the capacity of where they are
};

/// @brief Spreads the streams over the replicas so that the busiest endpoints are as little busy as possible.
/// @param input demand, replicas and capacities
/// @param rounds passes over all models; each evens out further
LoadDistribution distributeLoad(const LoadDistributionInput &input, unsigned rounds);

/// @brief Spreads one model's streams anew, with the others as they are.
/// @param input demand, replicas and capacities
/// @param model index of the model
/// @param result the spread to change
void rebalance(const LoadDistributionInput &input, std::uint32_t model, LoadDistribution &result);

/// @brief Computes what is unserved from the loads and shares.
/// @param input capacities
/// @param result the spread to complete
void countUnserved(const LoadDistributionInput &input, LoadDistribution &result);

} // namespace turmericplank::placement
