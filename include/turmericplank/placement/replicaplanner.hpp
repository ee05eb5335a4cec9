#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "turmericplank/base/time.hpp"
#include "turmericplank/placement/planner.hpp"

namespace turmericplank::placement {

/// @brief What one model asks of the engines.
struct ModelRequirements
{
    std::uint32_t memoryMb = 0;
    double load = 0; ///< engine time that its requests take, in engines

    friend auto operator<=>(const ModelRequirements &, const ModelRequirements &) = default;
    friend bool operator==(const ModelRequirements &, const ModelRequirements &) = default;
};

/// @brief Everything that one step of the replica planner may know.
struct ReplicaPlannerInput
{
    std::vector<EndpointView> engines; ///< those that leave are not in it
    std::map<base::ModelName, ModelRequirements> models; ///< every configured model
    std::uint32_t storeLoads = 0; ///< loads from the weight store that may start now
    bool mayRestore = true; ///< whether a model without any engine is to be loaded; not before all engines had time to appear
};

/// @brief Numbers of the replica planner.
struct ReplicaPlannerOptions
{
    double busy = 0.30; ///< load of a model's least busy engine above which another engine is worth a load; late gaps begin about there
    double leastGain = 0.03; ///< load that moves times the difference that it moves over; below, replicas would go back and forth
    double smallestLoad = 0.03; ///< of a model that is given another engine
    double missingGain = 0.3; ///< of a model without any engine that nobody asks for: more than a small relief, less than a great one
    double missingLoadGain = 3; ///< the same, for each engine that its requests would keep busy
    double evictionPrice = 0.02; ///< as gain: an unload waits for the requests in progress
    double storePrice = 0.02; ///< as gain: a load from the weight store takes seconds longer than one from a copy
    double yieldingShare = 0.15; ///< largest load that a model may have on an engine that it yields
    double yieldingPart = 0.25; ///< the same, in parts of the load that comes
    double unlockShare = 0.03; ///< largest load that a model may have on an engine that yields it for that
    std::uint32_t unlockStoreLoads = 1; ///< loads that the weight store must have to spare before a model is moved to make its engine able to yield
    std::uint32_t roomsAhead = 2; ///< engines that make room for loads from the weight store beyond those that may begin now
    base::Duration intentTime = std::chrono::seconds(12); ///< an unload and a load have ended by then, or never will
};

/// @brief Decides which engines hold which models.
///
/// Load pattern: the demand for a model multiplies within seconds while that for others falls silent. What was chosen is
/// kept as an intent until it is done, so that the room made for one model is not given to another in the next step.
class ReplicaPlanner
{
public:
    explicit ReplicaPlanner(ReplicaPlannerOptions options = {});

    /// @brief Chooses the loads and unloads that may be ordered now.
    /// @param input engines, loads and limits
    /// @param now present time
    std::vector<Move> plan(const ReplicaPlannerInput &input, base::Time now);

    /// @brief Engines that are to hold a model that they do not hold yet.
    std::size_t intents() const;

private:
    struct Intent
    {
        base::ModelName model;
        MoveReason reason = MoveReason::Demand;
        base::Time until;
        double gain = 0;
        bool hasRoom = false; ///< a model was ordered out for it
    };

    struct Step;
    /// A model and the engine that is to get it.
    struct Choice
    {
        std::uint32_t model = 0;
        std::uint32_t engine = 0;
        double gain = 0;
        MoveReason reason = MoveReason::Demand;
    };

    void dropUnbegun();
    void dropSettled(const ReplicaPlannerInput &input, base::Time now);
    static std::vector<std::uint32_t> missingModels(const Step &step);
    std::optional<Choice> bestRestore(const Step &step, std::uint32_t model) const;
    std::optional<Choice> bestRelief(const Step &step) const;
    void choose(Step &step, bool mayRestore, base::Time now);
    void unlockOne(Step &step, base::Time now);
    void emit(Step &step, std::vector<Move> &moves);

    ReplicaPlannerOptions m_options;
    std::map<base::EndpointId, Intent> m_intents; ///< at most one for each engine
};

} // namespace turmericplank::placement
