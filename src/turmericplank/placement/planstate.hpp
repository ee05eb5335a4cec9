#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "turmericplank/placement/loaddistribution.hpp"
#include "turmericplank/placement/planner.hpp"

namespace turmericplank::placement {

/// @brief Version of a model on an endpoint during a planning step.
struct ResidentModel
{
    std::uint32_t model = 0; ///< index of the model, UINT32_MAX if it is not configured
    Resident resident;
    std::uint32_t memoryMib = 0;
    ResidentState state = ResidentState::Present;
    bool isCurrent = true; ///< whether this is the configured version
    bool isPlanned = false; ///< whether this step chose the load
};

/// @brief Adapter on an endpoint during a planning step.
struct ResidentAdapter
{
    base::AdapterName adapter;
    std::uint32_t model = 0; ///< index of the base model, UINT32_MAX if it is not configured
    std::uint32_t memoryMib = 0;
    ResidentState state = ResidentState::Present;
};

/// @brief Endpoint during a planning step.
struct PlannedEndpoint
{
    const EngineSnapshot *view = nullptr;
    std::int64_t freeNowMib = 0; ///< memory that is not committed
    std::int64_t freeAfterUnloadsMib = 0; ///< memory that is free once all unloads are done, minus the memory reserved for adapters
    std::uint32_t zone = 0; ///< index of the zone
    std::vector<ResidentModel> models;
    std::vector<ResidentAdapter> adapters;
};

/// @brief Configured model with its demand during a planning step.
struct PlannedModel
{
    const configuration::Model *model = nullptr;
    double streams = 0; ///< expected concurrent streams, with headroom
    double requestsPerSecond = 0;
    double latePrice = 0; ///< price of the requests that are late if one stream is unserved over the horizon
    std::uint32_t adapterMib = 0; ///< memory of all its adapters
};

/// @brief Replicas of a model, except those being unloaded.
struct ReplicaList
{
    std::vector<std::uint32_t> endpoints; ///< endpoint indexes in ascending order
    std::uint32_t present = 0; ///< number of these endpoints where the model is present
    std::vector<std::uint32_t> perZone; ///< number of replicas in each zone

    /// @brief Number of zones with a replica.
    std::size_t zones() const;
};

/// @brief State of one planning step: endpoints and models with the effect of the moves chosen so far, and these moves.
class PlanState
{
public:
    PlanState(const PlanInput &input, const PlannerOptions &options);

    /// @brief Indexes of the endpoints that hold or are loading a model and do not unload it.
    const std::vector<std::uint32_t> &replicas(std::uint32_t model) const;
    /// @brief The same endpoints with counts by state and zone.
    const ReplicaList &replicaList(std::uint32_t model) const;
    /// @brief Whether an endpoint holds, is loading or is unloading the configured version of a model.
    bool hasConfiguredVersion(std::uint32_t endpoint, std::uint32_t model) const;
    /// @brief Minimum number of replicas of a model, at least one.
    std::size_t minReplicas(std::uint32_t model) const;
    /// @brief Memory in MiB that a model needs together with all its adapters.
    std::int64_t requiredMemory(std::uint32_t model) const;
    /// @brief Whether an endpoint has a local copy of a model, so that a load does not use the weight store.
    bool hasLocalCopy(std::uint32_t endpoint, std::uint32_t model) const;
    /// @brief Whether a load of a model may start in this step.
    bool mayLoad(std::uint32_t endpoint, std::uint32_t model) const;
    /// @brief Whether another move may be chosen in this step.
    bool hasMovesLeft() const;

    /// @brief Adds a load. If the memory is not free yet, only reserves the memory that unloads will free.
    void load(std::uint32_t endpoint, std::uint32_t model, MoveReason reason, double gain);
    /// @brief Adds the unload of a model. If the model has adapters, they are unloaded first and the model in a later step.
    void unload(std::uint32_t endpoint, std::size_t held, MoveReason reason, double gain);

    PlanInput const &input;
    PlannerOptions const &options;
    const configuration::Document &document;
    std::vector<PlannedModel> models;
    std::map<base::ModelName, std::uint32_t> modelIndex;
    std::vector<PlannedEndpoint> endpoints;
    std::set<std::pair<base::AdapterName, std::uint32_t>> leavingAdapters; ///< adapters to unload, each with its endpoint
    std::vector<Move> moves;
    std::uint32_t loadsLeft = 0;
    std::uint32_t zoneCount = 0;

private:
    void updateReplicaList(std::uint32_t model);
    void addResident(PlannedEndpoint &endpoint, const Resident &resident, ResidentState state);

    std::vector<ReplicaList> m_replicas;
};

/// @brief Demand, replicas and capacities of a planning step.
LoadDistributionInput distributionInput(const PlanState &state);

/// @brief Adds loads for models with more demand than capacity, with the evictions they need.
void planDemand(PlanState &state);

/// @brief Adds loads and unloads of adapters.
void planAdapters(PlanState &state);

/// @brief Cheapest replicas whose unload frees a required amount of memory on an endpoint.
struct Eviction
{
    std::vector<std::size_t> held; ///< indexes in the endpoint's list of models
    double loss = 0; ///< price of the late requests and moves that the eviction causes
    bool isPossible = false;
};

/// @brief Finds replicas that can be evicted from an endpoint.
/// @param state planning step
/// @param distribution current distribution of the streams
/// @param freeStreams free streams on all replicas of each model, by model index
/// @param endpoint index of the endpoint
/// @param memoryMib memory in MiB that must be free afterwards
Eviction findEviction(const PlanState &state, const LoadDistribution &distribution, const std::vector<double> &freeStreams, std::uint32_t endpoint,
                      std::int64_t memoryMib);

/// @brief Sums the free streams on all replicas of each model, by model index.
/// @param state planning step
/// @param distribution current distribution of the streams
std::vector<double> freeStreamsByModel(const PlanState &state, const LoadDistribution &distribution);

} // namespace turmericplank::placement
