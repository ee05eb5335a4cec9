#pragma once

#include <cstdint>
#include <vector>

namespace turmericplank::placement {

/// @brief Demand of each model and the endpoints that hold it; models and endpoints are given by index.
struct LoadDistributionInput
{
    std::vector<double> demand; ///< concurrent streams of each model
    std::vector<std::vector<std::uint32_t>> replicas; ///< endpoints that hold each model
    std::vector<double> capacity; ///< streams that each endpoint serves at full speed
};

/// @brief Distribution of the streams if each is routed to its least utilized replica.
struct LoadDistribution
{
    std::vector<double> load; ///< streams on each endpoint
    std::vector<std::vector<double>> shares; ///< streams of each model on each of its replicas, in the order of the input's replicas
    std::vector<double> unserved; ///< streams of each model that exceed the capacity of its endpoints
};

/// @brief Distributes the streams over the replicas so that the highest utilization is as low as possible.
/// @param input demand, replicas and capacities
/// @param iterations passes over all models; each one evens out the loads further
LoadDistribution distributeLoad(const LoadDistributionInput &input, unsigned iterations);

/// @brief Redistributes the streams of one model; those of the other models stay where they are.
/// @param input demand, replicas and capacities
/// @param model index of the model
/// @param result distribution to change
void redistributeModel(const LoadDistributionInput &input, std::uint32_t model, LoadDistribution &result);

/// @brief Computes the unserved streams from the loads and shares.
/// @param input replicas and capacities
/// @param result distribution to complete
void computeUnserved(const LoadDistributionInput &input, LoadDistribution &result);

} // namespace turmericplank::placement
