#include "turmericplank/placement/replicaplanner.hpp"

#include <algorithm>

#include "turmericplank/placement/loaddistribution.hpp"

namespace turmericplank::placement {

namespace {

constexpr unsigned DistributionIterations = 3;
constexpr double NoLoadLimit = 1e9; ///< a model may be evicted whatever its load on the engine
constexpr double EvictionBonusPerReplica = 0.01; ///< load that is subtracted per replica when eviction candidates are ranked
constexpr std::size_t MaxIntentsPerStep = 8; ///< each intent changes the loads on which the next choice is based

Resident modelResident(const base::ModelName &model)
{
    return {model, {}, {}};
}

bool holds(const EngineSnapshot &engine, const base::ModelName &model)
{
    const auto it = engine.residents.find(modelResident(model));
    return it != engine.residents.end() && it->second != ResidentState::Leaving;
}

} // namespace

/// Engines and models of one step by index, with the loads expected once all intents are done.
struct ReplicaPlanner::Step
{
    Step(const ReplicaPlannerInput &stepInput, const std::map<base::EndpointId, Intent> &intents)
        : input(stepInput)
        , storeLoadsLeft(stepInput.storeLoadsAllowed)
    {
        for (const auto &[name, load] : input.models) {
            names.push_back(name);
            distributionInput.demand.push_back(load.load);
            largestModel = std::max(largestModel, load.memoryMb);
        }
        distributionInput.capacity.assign(input.engines.size(), 1.0);
        listEngines(intents);
        redistribute();
    }

    void redistribute()
    {
        distribution = distributeLoad(distributionInput, DistributionIterations);
    }

    const ModelRequirements &load(std::uint32_t model) const
    {
        return input.models.at(names[model]);
    }

    /// Load of a model on one engine.
    double share(std::uint32_t model, std::uint32_t engine) const
    {
        const auto &engines = distributionInput.replicas[model];
        const auto it = std::ranges::find(engines, engine);
        return it == engines.end() ? 0 : distribution.shares[model][static_cast<std::size_t>(it - engines.begin())];
    }

    /// Load of the least loaded engine that holds a model.
    double minReplicaLoad(std::uint32_t model) const
    {
        double minLoad = 1e9;
        for (const auto engine : distributionInput.replicas[model]) {
            minLoad = std::min(minLoad, distribution.load[engine]);
        }
        return minLoad;
    }

    std::optional<std::uint32_t> indexOf(const base::ModelName &model) const
    {
        const auto it = std::ranges::lower_bound(names, model);
        return it != names.end() && *it == model ? std::optional(static_cast<std::uint32_t>(it - names.begin())) : std::nullopt;
    }

    /// Lists the engines on which each model is present, arriving or planned, and those on which it is present.
    void listEngines(const std::map<base::EndpointId, Intent> &intents)
    {
        distributionInput.replicas.resize(names.size());
        presentOn.resize(input.engines.size());
        present.assign(names.size(), 0);
        for (std::uint32_t engine = 0; engine < input.engines.size(); ++engine) {
            for (const auto &[resident, state] : input.engines[engine].residents) {
                const auto model = resident.adapter.isEmpty() && state != ResidentState::Leaving ? indexOf(resident.model) : std::nullopt;
                if (!model) {
                    continue;
                }
                distributionInput.replicas[*model].push_back(engine);
                if (state == ResidentState::Present) {
                    presentOn[engine].push_back(*model);
                    ++present[*model];
                }
            }
            const auto intent = intents.find(input.engines[engine].id);
            const auto model = intent == intents.end() ? std::nullopt : indexOf(intent->second.model);
            if (model && (distributionInput.replicas[*model].empty() || distributionInput.replicas[*model].back() != engine)) {
                distributionInput.replicas[*model].push_back(engine);
            }
        }
    }

    /// Approximately half of the reduction of the sum of squared loads by a new replica: the load that moves to the engine, returned in
    /// moved, times the load difference.
    double gain(std::uint32_t model, std::uint32_t engine, double currentMinLoad, double &moved) const
    {
        const auto replicas = static_cast<double>(distributionInput.replicas[model].size());
        const double difference = currentMinLoad - distribution.load[engine];
        moved = std::min(load(model).load, difference * replicas / (replicas + 1));
        return moved * difference;
    }

    bool hasLocalCopy(std::uint32_t engine, std::uint32_t model) const
    {
        return input.engines[engine].localCopies.contains(names[model]);
    }

    std::int64_t freeMemory(std::uint32_t engine) const
    {
        return std::int64_t(input.engines[engine].capacityMib) - input.engines[engine].committedMib;
    }

    /// Models that may be evicted from an engine, those with the lowest load there first.
    std::vector<std::uint32_t> evictionCandidates(std::uint32_t engine, double maxLoad) const
    {
        std::vector<std::uint32_t> found;
        for (const auto model : presentOn[engine]) {
            if (present[model] > 1 && share(model, engine) <= maxLoad) {
                found.push_back(model);
            }
        }
        // Of two idle models the one with more replicas is evicted. Evicting the other could make its replica on another engine the sole
        // one, which that engine cannot evict.
        std::ranges::stable_sort(found, {}, [&](auto model) { return share(model, engine) - EvictionBonusPerReplica * present[model]; });
        return found;
    }

    /// Number of models whose only replica is on an engine or planned there.
    std::size_t soleReplicaCount(std::uint32_t engine) const
    {
        std::size_t count = 0;
        for (const auto &engines : distributionInput.replicas) {
            count += engines.size() == 1 && engines.front() == engine ? 1 : 0;
        }
        return count;
    }

    bool isFull(std::uint32_t engine) const
    {
        return freeMemory(engine) < std::int64_t(largestModel);
    }

    /// Whether an engine is full and holds only sole replicas, so that nothing can be loaded before one of them is loaded elsewhere.
    bool isLocked(std::uint32_t engine) const
    {
        return isFull(engine) && !presentOn[engine].empty() && evictionCandidates(engine, NoLoadLimit).empty();
    }

    const ReplicaPlannerInput &input;
    std::vector<base::ModelName> names;
    std::vector<std::vector<std::uint32_t>> presentOn; ///< models present on each engine and not being unloaded
    std::vector<std::uint32_t> present; ///< number of engines on which each model is present
    LoadDistributionInput distributionInput;
    LoadDistribution distribution;
    std::uint32_t storeLoadsLeft = 0;
    std::uint32_t largestModel = 0;
};

ReplicaPlanner::ReplicaPlanner(ReplicaPlannerOptions options)
    : m_options(options)
{
}

std::size_t ReplicaPlanner::intentCount() const
{
    return m_intents.size();
}

std::vector<Move> ReplicaPlanner::plan(const ReplicaPlannerInput &input, base::Time now)
{
    dropFinishedIntents(input, now);
    dropUnstartedIntents();
    Step step(input, m_intents);
    chooseIntents(step, input.mayLoadMissing, now);
    chooseUnlock(step, now);
    std::vector<Move> moves;
    emitMoves(step, moves);
    return moves;
}

void ReplicaPlanner::dropFinishedIntents(const ReplicaPlannerInput &input, base::Time now)
{
    std::erase_if(m_intents, [&](const auto &it) {
        const auto engine = std::ranges::find(input.engines, it.first, &EngineSnapshot::id);
        const bool isOver = engine == input.engines.end() || !input.models.contains(it.second.model) || now >= it.second.until;
        return isOver || holds(*engine, it.second.model);
    });
}

/// Intents that wait for the weight store's rate are dropped and chosen again by the latest demand. Intents for which a model was
/// evicted are kept, so that the freed memory goes to their models.
void ReplicaPlanner::dropUnstartedIntents()
{
    std::erase_if(m_intents, [](const auto &it) { return !it.second.hasEvicted; });
}

/// Models without a present, arriving or planned replica, those with the highest load first.
std::vector<std::uint32_t> ReplicaPlanner::missingModels(const Step &step)
{
    std::vector<std::uint32_t> missing;
    for (std::uint32_t model = 0; model < step.names.size(); ++model) {
        if (step.distributionInput.replicas[model].empty()) {
            missing.push_back(model);
        }
    }
    std::ranges::stable_sort(missing, std::greater<>(), [&](auto model) { return step.load(model).load; });
    return missing;
}

std::optional<ReplicaPlanner::Choice> ReplicaPlanner::bestMissingModelLoad(const Step &step, std::uint32_t model) const
{
    std::optional<Choice> best;
    std::tuple<bool, bool, bool, std::size_t, double> bestRank;
    for (std::uint32_t engine = 0; engine < step.input.engines.size(); ++engine) {
        const auto &view = step.input.engines[engine];
        const bool fits = step.freeMemory(engine) >= std::int64_t(step.load(model).memoryMb);
        const auto evictionCandidates = fits ? std::vector<std::uint32_t>() : step.evictionCandidates(engine, NoLoadLimit);
        if (!view.acceptsOrders || m_intents.contains(view.id) || (!fits && evictionCandidates.empty())) {
            continue;
        }
        const bool evictsBusyModel = !fits && step.share(evictionCandidates.front(), engine) > m_options.maxEvictedLoad;
        const std::tuple rank(!fits, evictsBusyModel, !step.hasLocalCopy(engine, model), step.soleReplicaCount(engine), step.distribution.load[engine]);
        if (!best || rank < bestRank) {
            best = Choice{model, engine, m_options.missingModelGain + step.load(model).load * m_options.missingModelGainPerLoad, MoveReason::Unreachable};
            bestRank = rank;
        }
    }
    return best;
}

std::optional<ReplicaPlanner::Choice> ReplicaPlanner::bestExtraReplica(const Step &step) const
{
    std::optional<Choice> best;
    for (std::uint32_t model = 0; model < step.names.size(); ++model) {
        const double minReplicaLoad = step.minReplicaLoad(model);
        const bool isBusy =
            step.load(model).load >= m_options.minLoadForReplica && minReplicaLoad > m_options.busyThreshold && !step.distributionInput.replicas[model].empty();
        for (std::uint32_t engine = 0; isBusy && engine < step.input.engines.size(); ++engine) {
            const auto &view = step.input.engines[engine];
            const bool isExcluded = !view.acceptsOrders || m_intents.contains(view.id) || view.residents.contains(modelResident(step.names[model]));
            if (isExcluded || minReplicaLoad <= step.distribution.load[engine]) {
                continue;
            }
            double moved = 0;
            const bool fits = step.freeMemory(engine) >= std::int64_t(step.load(model).memoryMb);
            const double cost = (fits ? 0 : m_options.evictionCost) + (step.hasLocalCopy(engine, model) ? 0 : m_options.storeLoadCost);
            const double gain = step.gain(model, engine, minReplicaLoad, moved) - cost;
            const double maxEvictedLoad = std::max(m_options.maxEvictedLoad, m_options.maxEvictedLoadRatio * moved);
            if (gain > (best ? best->gain : m_options.minGain) && (fits || !step.evictionCandidates(engine, maxEvictedLoad).empty())) {
                best = Choice{model, engine, gain, MoveReason::Demand};
            }
        }
    }
    return best;
}

/// Chooses the loads with the highest gain, of missing models and of further replicas of busy models. Both kinds compete for the same
/// engines if engines are replaced one after the other, which removes the only replicas of many models, while demand moves between
/// models.
void ReplicaPlanner::chooseIntents(Step &step, bool mayLoadMissing, base::Time now)
{
    const auto missing = mayLoadMissing ? missingModels(step) : std::vector<std::uint32_t>();
    auto next = missing.begin();
    for (std::size_t n = 0; n < MaxIntentsPerStep; ++n) {
        const auto extraReplica = bestExtraReplica(step);
        const auto missingLoad = next == missing.end() ? std::nullopt : bestMissingModelLoad(step, *next);
        if (!extraReplica && !missingLoad) {
            return;
        }
        const bool isMissingModel = !extraReplica || (missingLoad && missingLoad->gain >= extraReplica->gain);
        const auto &best = isMissingModel ? *missingLoad : *extraReplica;
        next += isMissingModel ? 1 : 0;
        m_intents.insert_or_assign(step.input.engines[best.engine].id,
                                   Intent{step.names[best.model], best.reason, now + m_options.intentTimeout, best.gain, false});
        step.distributionInput.replicas[best.model].push_back(best.engine);
        step.redistribute();
    }
}

/// Chooses another replica of a model so that a locked engine can evict that model. Done one at a time and only if there is no other
/// intent, because it has no benefit before demand shifts again.
void ReplicaPlanner::chooseUnlock(Step &step, base::Time now)
{
    if (step.storeLoadsLeft < m_options.minStoreLoadsForUnlock || !m_intents.empty()) {
        return;
    }
    std::optional<std::pair<std::uint32_t, std::uint32_t>> best; // model and the engine to load it on
    std::pair<bool, double> bestRank;
    for (std::uint32_t locked = 0; locked < step.input.engines.size(); ++locked) {
        if (!step.isLocked(locked)) {
            continue;
        }
        for (std::uint32_t engine = 0; engine < step.input.engines.size(); ++engine) {
            const auto freeable = step.evictionCandidates(engine, m_options.maxEvictedLoadForUnlock).size() + (step.isFull(engine) ? 0 : 1);
            if (!step.input.engines[engine].acceptsOrders || freeable < 2) {
                continue;
            }
            for (const auto model : step.presentOn[locked]) {
                const std::pair rank(!step.hasLocalCopy(engine, model), step.load(model).load + step.distribution.load[engine]);
                if (!best || rank < bestRank) {
                    best = {model, engine};
                    bestRank = rank;
                }
            }
        }
    }
    if (best) {
        m_intents.insert_or_assign(step.input.engines[best->second].id,
                                   Intent{step.names[best->first], MoveReason::Unlock, now + m_options.intentTimeout, m_options.minGain, false});
        step.distributionInput.replicas[best->first].push_back(best->second);
    }
}

void ReplicaPlanner::emitMoves(Step &step, std::vector<Move> &moves)
{
    // The intents with the highest gain get the loads from the weight store.
    std::vector<std::pair<double, std::uint32_t>> order;
    for (std::uint32_t engine = 0; engine < step.input.engines.size(); ++engine) {
        const auto &view = step.input.engines[engine];
        const auto intent = m_intents.find(view.id);
        if (intent != m_intents.end() && view.acceptsOrders) {
            order.emplace_back(-intent->second.gain, engine);
        }
    }
    std::ranges::sort(order);
    // Memory freed long before its load may start is of no use, so only as many models are evicted as can be loaded soon.
    std::uint32_t storeIntentsLeft = step.storeLoadsLeft + m_options.evictionsAhead;
    for (const auto &it : order) {
        const auto engine = it.second;
        const auto &view = step.input.engines[engine];
        auto &[model, reason, until, gain, hasEvicted] = m_intents.at(view.id);
        const auto memory = step.input.models.at(model).memoryMb;
        const bool hasLocalCopy = view.localCopies.contains(model);
        if (!hasLocalCopy && storeIntentsLeft == 0) {
            continue;
        }
        storeIntentsLeft -= hasLocalCopy ? 0 : 1;
        if (step.freeMemory(engine) >= std::int64_t(memory)) {
            if (hasLocalCopy || step.storeLoadsLeft > 0) {
                step.storeLoadsLeft -= hasLocalCopy ? 0 : 1;
                moves.push_back({OrderKind::Load, view.id, modelResident(model), {}, memory, reason, gain});
            }
            continue;
        }
        const auto evictionCandidates = step.evictionCandidates(engine, NoLoadLimit);
        if (!evictionCandidates.empty()) {
            hasEvicted = true;
            moves.push_back({OrderKind::Unload, view.id, modelResident(step.names[evictionCandidates.front()]), {}, 0, MoveReason::MakeRoom, gain});
        }
    }
}

} // namespace turmericplank::placement
