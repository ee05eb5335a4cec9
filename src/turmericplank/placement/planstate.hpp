#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "turmericplank/placement/loaddistribution.hpp"
#include "turmericplank/placement/planner.hpp"

namespace turmericplank::placement {

/// @brief A model's version on an endpoint, while a step is planned.
struct HeldModel
{
    std::uint32_t model = 0;
    Resident resident;
    std::uint32_t memoryMib = 0;
    ResidentState state = ResidentState::Present;
    bool isCurrent = true; ///< it is the configured version
    bool isPlanned = false; ///< the load is a move of this step
};

/// @brief An adapter on an endpoint, while a step is planned.
struct HeldAdapter
{
    base::AdapterName adapter;
    std::uint32_t model = 0;
    std::uint32_t memoryMib = 0;
    ResidentState state = ResidentState::Present;
};

/// @brief An endpoint, while a step is planned.
struct HeldEndpoint
{
    const EndpointView *view = nullptr;
    std::int64_t freeNow = 0; ///< memory that nothing is charged to, MiB
    std::int64_t freeSoon = 0; ///< the same once everything that leaves has left, less what adapters may need
    std::uint32_t zone = 0; ///< index among the zones
    std::vector<HeldModel> models;
    std::vector<HeldAdapter> adapters;
};

/// @brief A model, while a step is planned.
struct WantedModel
{
    const configuration::Model *model = nullptr;
    double streams = 0;
    double requestsPerSecond = 0;
    double latePrice = 0; ///< price of one stream that stays unserved over the horizon
    std::uint32_t adapterMib = 0; ///< memory of all its adapters
};

/// @brief Replicas of a model that it does not lose.
struct ReplicaList
{
    std::vector<std::uint32_t> endpoints; ///< in the order of the endpoints
    std::uint32_t present = 0; ///< of these, endpoints where it serves already
    std::vector<std::uint32_t> perZone;

    /// @brief Zones that have a replica.
    std::size_t zones() const;
};

/// @brief State of one planning step: what is there, what the moves chosen so far make of it, and the moves.
class PlanState
{
public:
    PlanState(const PlanInput &input, const PlannerOptions &options);

    /// @brief Endpoints that hold or will hold a model and do not lose it, by index.
    const std::vector<std::uint32_t> &replicas(std::uint32_t model) const;
    /// @brief The same with what is known of them.
    const ReplicaList &replicaList(std::uint32_t model) const;
    /// @brief Whether an endpoint holds or will hold the configured version, or its old one is leaving.
    bool isTaken(std::uint32_t endpoint, std::uint32_t model) const;
    /// @brief Replicas that a model has to keep.
    std::size_t floor(std::uint32_t model) const;
    /// @brief Memory that a model takes with room for its adapters, MiB.
    std::int64_t need(std::uint32_t model) const;
    /// @brief Whether an endpoint has a copy of a model, so that its load does not need the weight store.
    bool isAtHand(std::uint32_t endpoint, std::uint32_t model) const;
    /// @brief Whether a load of a model may start in this step.
    bool mayLoad(std::uint32_t endpoint, std::uint32_t model) const;
    /// @brief Whether another move may be chosen in this step.
    bool hasMovesLeft() const;

    /// @brief Chooses a load, or reserves the memory that will be free for it.
    void load(std::uint32_t endpoint, std::uint32_t model, MoveReason reason, double gain);
    /// @brief Chooses the unload of a model; its adapters go first, in a step of their own.
    void unload(std::uint32_t endpoint, std::size_t held, MoveReason reason, double gain);

    PlanInput const &input;
    PlannerOptions const &options;
    const configuration::Document &document;
    std::vector<WantedModel> models;
    std::map<base::ModelName, std::uint32_t> modelIndex;
    std::vector<HeldEndpoint> endpoints;
    std::set<std::pair<base::AdapterName, std::uint32_t>> leavingAdapters; ///< adapter and endpoint
    std::vector<Move> moves;
    std::uint32_t loadsLeft = 0;
    std::uint32_t zoneCount = 0;

private:
    void listReplicas(std::uint32_t model);
    void addResident(HeldEndpoint &endpoint, const Resident &resident, ResidentState state);

    std::vector<ReplicaList> m_replicas;
};

/// @brief Streams and replicas as the state has them.
/// @param state the step
LoadDistributionInput balanceInput(const PlanState &state);

/// @brief Chooses the loads that demand asks for.
/// @param state the step
void planDemand(PlanState &state);

/// @brief Chooses the loads and unloads of adapters.
/// @param state the step
void planAdapters(PlanState &state);

/// @brief Replicas on an endpoint whose unload costs least, enough for some memory.
struct Eviction
{
    std::vector<std::size_t> held; ///< indexes of the endpoint's models
    double loss = 0; ///< price of the late requests and moves that it causes
    bool isPossible = false;
};

/// @brief Looks for replicas that can leave an endpoint.
/// @param state the step
/// @param spread streams as they are spread now
/// @param room free streams on all replicas of each model together
/// @param endpoint index of the endpoint
/// @param memoryMib memory that has to be free afterwards
Eviction findEviction(const PlanState &state, const LoadDistribution &spread, const std::vector<double> &room, std::uint32_t endpoint, std::int64_t memoryMib);

/// @brief Free streams on all replicas of each model together.
/// @param state the step
/// @param spread streams as they are spread now
std::vector<double> roomOfModels(const PlanState &state, const LoadDistribution &spread);

} // namespace turmericplank::placement
