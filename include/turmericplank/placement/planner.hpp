#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/configuration/document.hpp"
#include "turmericplank/placement/demand.hpp"
#include "turmericplank/placement/memoryledger.hpp"
#include "turmericplank/placement/order.hpp"

namespace turmericplank::placement {

/// @brief Reason for a move.
enum class MoveReason {
    Unreachable, ///< the model has no replica
    Minimum, ///< fewer replicas than configured
    Spread, ///< its replicas are in too few zones
    Demand, ///< the late requests that it prevents are worth more than the move costs
    Version, ///< another version is configured
    Removed, ///< the model is no longer configured
    Unlock, ///< another replica of a model, so that a full engine that holds only sole replicas can evict one
    MakeRoom, ///< frees memory for a load of higher value
    Adapter, ///< the adapter is missing on an endpoint with its base model
    Role, ///< another role is configured
};

/// @brief Name of a reason in logs.
std::string_view toString(MoveReason reason);

/// @brief Load, unload or role change chosen by the planner.
struct Move
{
    OrderKind kind = OrderKind::Load;
    base::EndpointId endpoint;
    Resident resident;
    std::string role;
    std::uint32_t memoryMib = 0;
    MoveReason reason = MoveReason::Demand;
    double gain = 0; ///< value of the late requests that the move prevents

    friend bool operator==(const Move &, const Move &) = default;
};

/// @brief Endpoint as seen by the planner.
struct EngineSnapshot
{
    base::EndpointId id;
    base::ZoneName zone;
    std::uint32_t capacityMib = 0;
    std::uint32_t committedMib = 0; ///< memory in use plus memory of loads that may still be carried out
    std::uint32_t concurrency = 1; ///< streams that it serves at full speed
    std::string role;
    bool acceptsOrders = false; ///< a new order can be sent now
    std::uint32_t adapterSlots = UINT32_MAX; ///< maximum number of adapters, including those being loaded
    std::uint32_t maxLoadMib = UINT32_MAX; ///< largest load that may be ordered; reduced while the table is down
    std::set<base::ModelName> localCopies; ///< models that it loads from a local copy, quickly and without the weight store
    std::map<Resident, ResidentState> residents;

    friend bool operator==(const EngineSnapshot &, const EngineSnapshot &) = default;
};

/// @brief Input of one planning step. Endpoints that are lost are left out.
struct PlanInput
{
    std::shared_ptr<const configuration::Document> document;
    std::vector<EngineSnapshot> endpoints;
    Demand demand;
    std::uint32_t loadsAllowed = 0; ///< model loads that may start now
    std::uint32_t adapterLoadsAllowed = 0; ///< adapter loads that may start now
};

/// @brief Planner parameters that are the same for all sites.
struct PlannerOptions
{
    double horizonSeconds = 10; ///< time over which a move is credited with the late requests that it prevents
    double headroom = 1.15; ///< planned demand as a multiple of the estimate
    std::uint32_t maxMovesPerStep = 12;
    double popularAdapterShare = 0.02; ///< share of its base model's requests above which an adapter is loaded on every replica of that model
};

/// @brief Chooses loads and unloads of adapters only; models stay where they are.
/// @param input state, demand and limits
/// @param options planner parameters
std::vector<Move> planAdapterMoves(const PlanInput &input, const PlannerOptions &options);

/// @brief Chooses the moves of one step, the most important first.
/// @param input state, demand and limits
/// @param options planner parameters
std::vector<Move> plan(const PlanInput &input, const PlannerOptions &options);

} // namespace turmericplank::placement
