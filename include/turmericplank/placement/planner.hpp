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

/// @brief Why a move was chosen.
enum class MoveReason {
    Unreachable, ///< the model has no replica
    Minimum, ///< fewer replicas than configured
    Spread, ///< all replicas stand in one zone
    Demand, ///< saves late requests worth more than the move
    Version, ///< another version is configured
    Removed, ///< the model is not configured any more
    Unlock, ///< another replica of a model, so that an engine full of only replicas can yield one
    MakeRoom, ///< frees memory for a load that is worth more
    Adapter, ///< the adapter is missing beside its base model
    Role, ///< another role is configured
};

/// @brief The word of a reason in logs.
/// @param reason the reason
std::string_view toString(MoveReason reason);

/// @brief One load, unload or role change that the policy wants.
struct Move
{
    OrderKind kind = OrderKind::Load;
    base::EndpointId endpoint;
    Resident resident;
    std::string role;
    std::uint32_t memoryMib = 0;
    MoveReason reason = MoveReason::Demand;
    double gain = 0; ///< price of the late requests that it saves

    friend bool operator==(const Move &, const Move &) = default;
};

/// @brief One endpoint as the policy sees it.
struct EndpointView
{
    base::EndpointId id;
    base::ZoneName zone;
    std::uint32_t capacityMib = 0;
    std::uint32_t committedMib = 0; ///< held, and whatever may still be loaded
    std::uint32_t concurrency = 1;
    std::string role;
    bool acceptsOrders = false; ///< takes a new order now
    std::uint32_t adapterSlots = UINT32_MAX; ///< adapters that it may hold or be loading
    std::uint32_t loadLimitMib = UINT32_MAX; ///< largest load that may be ordered; smaller while the table is down
    std::set<base::ModelName> atHand; ///< models that it loads from a copy of its own, quickly and without the weight store
    std::map<Resident, ResidentState> residents;

    friend bool operator==(const EndpointView &, const EndpointView &) = default;
};

/// @brief Everything that one planning step may know; endpoints that are lost are not in it.
struct PlanInput
{
    std::shared_ptr<const configuration::Document> document;
    std::vector<EndpointView> endpoints;
    Demand demand;
    std::uint32_t loadsAllowed = 0; ///< model loads that may start now
    std::uint32_t adapterLoadsAllowed = 0; ///< adapter loads that may start now
};

/// @brief Numbers of the policy that are the same for all sites.
struct PlannerOptions
{
    double horizonSeconds = 10; ///< how long a saved rate of late requests is credited
    double headroom = 1.15; ///< demand that is planned for, in parts of the estimate
    std::uint32_t movesPerStep = 12;
    double adapterShare = 0.02; ///< share of its base model's requests from which an adapter follows each replica
};

/// @brief Chooses the loads and unloads of adapters only, beside models that are where they are.
/// @param input state, demand and limits
/// @param options numbers of the policy
std::vector<Move> planAdapterMoves(const PlanInput &input, const PlannerOptions &options);

/// @brief Chooses the moves of one step, the most valuable first.
/// @param input state, demand and limits
/// @param options numbers of the policy
std::vector<Move> plan(const PlanInput &input, const PlannerOptions &options);

} // namespace turmericplank::placement
