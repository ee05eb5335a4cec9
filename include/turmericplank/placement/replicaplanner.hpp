#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "turmericplank/base/time.hpp"
#include "turmericplank/placement/planner.hpp"

namespace turmericplank::placement {

/// @brief Memory and engine time that one model requires.
struct ModelRequirements
{
    std::uint32_t memoryMb = 0;
    double load = 0; ///< engine time that its requests need, as a number of fully used engines

    friend auto operator<=>(const ModelRequirements &, const ModelRequirements &) = default;
    friend bool operator==(const ModelRequirements &, const ModelRequirements &) = default;
};

/// @brief Input of one step of the replica planner.
struct ReplicaPlannerInput
{
    std::vector<EngineSnapshot> engines; ///< engines that are not leaving
    std::map<base::ModelName, ModelRequirements> models; ///< every configured model
    std::uint32_t storeLoadsAllowed = 0; ///< loads from the weight store that may start now
    bool mayLoadMissing = true; ///< whether models without an engine may be loaded; false until all engines have had time to appear
};

/// @brief Parameters of the replica planner. Loads are numbers of fully used engines.
struct ReplicaPlannerOptions
{
    double busyThreshold = 0.30; ///< load of a model's least loaded engine above which the model gets another one; late tokens begin at about this load
    double minGain = 0.03; ///< minimum gain of a load, as moved load times load difference; with a lower one replicas would move back and forth
    double minLoadForReplica = 0.03; ///< load of a model below which it gets no further engine
    double missingModelGain = 0.3; ///< gain of loading a model without engines and requests; between that of a slightly and a very useful replica
    double missingModelGainPerLoad = 3; ///< added gain of loading a model without an engine, per unit of its load
    double evictionCost = 0.02; ///< subtracted from the gain if a model has to be unloaded first, because an unload waits for the requests in progress
    double storeLoadCost = 0.02; ///< subtracted from the gain of a load from the weight store, which takes seconds longer than one from a local copy
    double maxEvictedLoad = 0.15; ///< maximum load of a model on the engine from which it is evicted
    double maxEvictedLoadRatio = 0.25; ///< maxEvictedLoad as a share of the load that moves to the engine; the higher of the two limits applies
    double maxEvictedLoadForUnlock = 0.03; ///< maximum load of a model that is evicted for an unlock move
    std::uint32_t minStoreLoadsForUnlock = 1; ///< loads from the weight store that must be available before an unlock move is chosen
    std::uint32_t evictionsAhead = 2; ///< evictions for loads from the weight store beyond the loads that may start now
    base::Duration intentTimeout = std::chrono::seconds(12); ///< an intent is dropped after this time; its unload and load are done by then or never will be
};

/// @brief Decides which engines hold which models.
///
/// Demand for one model may multiply within seconds while demand for others stops. A chosen load is kept as an intent until
/// it is done, so that memory freed for one model is not given to another in the next step.
class ReplicaPlanner
{
public:
    explicit ReplicaPlanner(ReplicaPlannerOptions options = {});

    /// @brief Chooses the loads and unloads that may be ordered now.
    /// @param input engines, loads and limits
    /// @param now present time
    std::vector<Move> plan(const ReplicaPlannerInput &input, base::Time now);

    /// @brief Number of engines with an intent, that is with a model that is planned but not present yet.
    std::size_t intentCount() const;

private:
    struct Intent
    {
        base::ModelName model;
        MoveReason reason = MoveReason::Demand;
        base::Time until;
        double gain = 0;
        bool hasEvicted = false; ///< another model was evicted for it
    };

    struct Step;
    /// A model and the engine to load it on.
    struct Choice
    {
        std::uint32_t model = 0;
        std::uint32_t engine = 0;
        double gain = 0;
        MoveReason reason = MoveReason::Demand;
    };

    void dropUnstartedIntents();
    void dropFinishedIntents(const ReplicaPlannerInput &input, base::Time now);
    static std::vector<std::uint32_t> missingModels(const Step &step);
    std::optional<Choice> bestMissingModelLoad(const Step &step, std::uint32_t model) const;
    std::optional<Choice> bestExtraReplica(const Step &step) const;
    void chooseIntents(Step &step, bool mayLoadMissing, base::Time now);
    void chooseUnlock(Step &step, base::Time now);
    void emitMoves(Step &step, std::vector<Move> &moves);

    ReplicaPlannerOptions m_options;
    std::map<base::EndpointId, Intent> m_intents; ///< at most one per engine
};

} // namespace turmericplank::placement
