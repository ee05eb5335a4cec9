#include "turmericplank/placement/replicaplanner.hpp"

#include <algorithm>

#include "turmericplank/placement/loaddistribution.hpp"

namespace turmericplank::placement {

namespace {

constexpr unsigned BalanceRounds = 3;
constexpr double AnyShare = 1e9; ///< load that a model may have on an engine and still yield: any
constexpr double ReplicaWorth = 0.01; ///< load by which each further replica of a model speaks for its yielding
constexpr std::size_t MostIntentsPerStep = 8; ///< each changes the loads that the next one is chosen by

Resident modelResident(const base::ModelName &model)
{
    return {model, {}, {}};
}

bool holds(const EndpointView &engine, const base::ModelName &model)
{
    const auto it = engine.residents.find(modelResident(model));
    return it != engine.residents.end() && it->second != ResidentState::Leaving;
}

} // namespace

/// The engines and models of one step by index, with the loads as they will be once all intents are done.
struct ReplicaPlanner::Step
{
    Step(const ReplicaPlannerInput &stepInput, const std::map<base::EndpointId, Intent> &intents)
        : input(stepInput)
        , storeLoads(stepInput.storeLoads)
    {
        for (const auto &[name, load] : input.models) {
            names.push_back(name);
            spread.demand.push_back(load.load);
            largestModel = std::max(largestModel, load.memoryMb);
        }
        spread.capacity.assign(input.engines.size(), 1.0);
        listEngines(intents);
        rebalanceAll();
    }

    void rebalanceAll()
    {
        result = distributeLoad(spread, BalanceRounds);
    }

    const ModelRequirements &load(std::uint32_t model) const
    {
        return input.models.at(names[model]);
    }

    /// Load of a model on one engine.
    double share(std::uint32_t model, std::uint32_t engine) const
    {
        const auto &engines = spread.replicas[model];
        const auto it = std::ranges::find(engines, engine);
        return it == engines.end() ? 0 : result.shares[model][static_cast<std::size_t>(it - engines.begin())];
    }

    /// Load of the least busy engine that holds a model.
    double pressure(std::uint32_t model) const
    {
        double least = 1e9;
        for (const auto engine : spread.replicas[model]) {
            least = std::min(least, result.load[engine]);
        }
        return least;
    }

    std::optional<std::uint32_t> indexOf(const base::ModelName &model) const
    {
        const auto it = std::ranges::lower_bound(names, model);
        return it != names.end() && *it == model ? std::optional(static_cast<std::uint32_t>(it - names.begin())) : std::nullopt;
    }

    /// Where each model is, arrives or is intended, and which of these serve it now.
    void listEngines(const std::map<base::EndpointId, Intent> &intents)
    {
        spread.replicas.resize(names.size());
        presentOn.resize(input.engines.size());
        present.assign(names.size(), 0);
        for (std::uint32_t engine = 0; engine < input.engines.size(); ++engine) {
            for (const auto &[resident, state] : input.engines[engine].residents) {
                const auto model = resident.adapter.isEmpty() && state != ResidentState::Leaving ? indexOf(resident.model) : std::nullopt;
                if (!model) {
                    continue;
                }
                spread.replicas[*model].push_back(engine);
                if (state == ResidentState::Present) {
                    presentOn[engine].push_back(*model);
                    ++present[*model];
                }
            }
            const auto intent = intents.find(input.engines[engine].id);
            const auto model = intent == intents.end() ? std::nullopt : indexOf(intent->second.model);
            if (model && (spread.replicas[*model].empty() || spread.replicas[*model].back() != engine)) {
                spread.replicas[*model].push_back(engine);
            }
        }
    }

    /// Reduction of the sum of squared loads, halved: what moves to the engine times the difference that it moves over.
    double gain(std::uint32_t model, std::uint32_t engine, double pressureNow, double &moved) const
    {
        const auto replicas = static_cast<double>(spread.replicas[model].size());
        const double difference = pressureNow - result.load[engine];
        moved = std::min(load(model).load, difference * replicas / (replicas + 1));
        return moved * difference;
    }

    bool isAtHand(std::uint32_t engine, std::uint32_t model) const
    {
        return input.engines[engine].atHand.contains(names[model]);
    }

    std::int64_t freeMemory(std::uint32_t engine) const
    {
        return std::int64_t(input.engines[engine].capacityMib) - input.engines[engine].committedMib;
    }

    /// Models of an engine that may yield, those with the least load there first.
    std::vector<std::uint32_t> victims(std::uint32_t engine, double yieldingShare) const
    {
        std::vector<std::uint32_t> found;
        for (const auto model : presentOn[engine]) {
            if (present[model] > 1 && share(model, engine) <= yieldingShare) {
                found.push_back(model);
            }
        }
        // Of two idle ones, the model with more replicas goes: the other keeps an engine elsewhere able to yield.
        std::ranges::stable_sort(found, {}, [&](auto model) { return share(model, engine) - ReplicaWorth * present[model]; });
        return found;
    }

    /// Models whose only replica is on an engine, or is to come there.
    std::size_t onlyReplicas(std::uint32_t engine) const
    {
        std::size_t n = 0;
        for (const auto &engines : spread.replicas) {
            n += engines.size() == 1 && engines.front() == engine ? 1 : 0;
        }
        return n;
    }

    bool isFull(std::uint32_t engine) const
    {
        return freeMemory(engine) < std::int64_t(largestModel);
    }

    /// Whether nothing else can be loaded on an engine before one of its models is loaded elsewhere.
    bool isLocked(std::uint32_t engine) const
    {
        return isFull(engine) && !presentOn[engine].empty() && victims(engine, AnyShare).empty();
    }

    const ReplicaPlannerInput &input;
    std::vector<base::ModelName> names;
    std::vector<std::vector<std::uint32_t>> presentOn; ///< models that each engine serves now and goes on to
    std::vector<std::uint32_t> present; ///< engines of each of them
    LoadDistributionInput spread;
    LoadDistribution result;
    std::uint32_t storeLoads = 0;
    std::uint32_t largestModel = 0;
};

ReplicaPlanner::ReplicaPlanner(ReplicaPlannerOptions options)
    : m_options(options)
{
}

std::size_t ReplicaPlanner::intents() const
{
    return m_intents.size();
}

std::vector<Move> ReplicaPlanner::plan(const ReplicaPlannerInput &input, base::Time now)
{
    dropSettled(input, now);
    dropUnbegun();
    Step step(input, m_intents);
    choose(step, input.mayRestore, now);
    unlockOne(step, now);
    std::vector<Move> moves;
    emit(step, moves);
    return moves;
}

void ReplicaPlanner::dropSettled(const ReplicaPlannerInput &input, base::Time now)
{
    std::erase_if(m_intents, [&](const auto &it) {
        const auto engine = std::ranges::find(input.engines, it.first, &EndpointView::id);
        const bool isOver = engine == input.engines.end() || !input.models.contains(it.second.model) || now >= it.second.until;
        return isOver || holds(*engine, it.second.model);
    });
}

/// What waits for the weight store's rate is chosen anew by the latest demand; room that was made is kept for its model.
void ReplicaPlanner::dropUnbegun()
{
    std::erase_if(m_intents, [](const auto &it) { return !it.second.hasRoom; });
}

/// Models that no engine holds or is to hold, those that most ask for first.
std::vector<std::uint32_t> ReplicaPlanner::missingModels(const Step &step)
{
    std::vector<std::uint32_t> missing;
    for (std::uint32_t model = 0; model < step.names.size(); ++model) {
        if (step.spread.replicas[model].empty()) {
            missing.push_back(model);
        }
    }
    std::ranges::stable_sort(missing, std::greater<>(), [&](auto model) { return step.load(model).load; });
    return missing;
}

std::optional<ReplicaPlanner::Choice> ReplicaPlanner::bestRestore(const Step &step, std::uint32_t model) const
{
    std::optional<Choice> best;
    std::tuple<bool, bool, bool, std::size_t, double> bestRank;
    for (std::uint32_t engine = 0; engine < step.input.engines.size(); ++engine) {
        const auto &view = step.input.engines[engine];
        const bool fits = step.freeMemory(engine) >= std::int64_t(step.load(model).memoryMb);
        const auto victims = fits ? std::vector<std::uint32_t>() : step.victims(engine, AnyShare);
        if (!view.acceptsOrders || m_intents.contains(view.id) || (!fits && victims.empty())) {
            continue;
        }
        const bool isVictimBusy = !fits && step.share(victims.front(), engine) > m_options.yieldingShare;
        const std::tuple rank(!fits, isVictimBusy, !step.isAtHand(engine, model), step.onlyReplicas(engine), step.result.load[engine]);
        if (!best || rank < bestRank) {
            best = Choice{model, engine, m_options.missingGain + step.load(model).load * m_options.missingLoadGain, MoveReason::Unreachable};
            bestRank = rank;
        }
    }
    return best;
}

std::optional<ReplicaPlanner::Choice> ReplicaPlanner::bestRelief(const Step &step) const
{
    std::optional<Choice> best;
    for (std::uint32_t model = 0; model < step.names.size(); ++model) {
        const double pressure = step.pressure(model);
        const bool isBusy = step.load(model).load >= m_options.smallestLoad && pressure > m_options.busy && !step.spread.replicas[model].empty();
        for (std::uint32_t engine = 0; isBusy && engine < step.input.engines.size(); ++engine) {
            const auto &view = step.input.engines[engine];
            const bool isTaken = !view.acceptsOrders || m_intents.contains(view.id) || view.residents.contains(modelResident(step.names[model]));
            if (isTaken || pressure <= step.result.load[engine]) {
                continue;
            }
            double moved = 0;
            const bool fits = step.freeMemory(engine) >= std::int64_t(step.load(model).memoryMb);
            const double price = (fits ? 0 : m_options.evictionPrice) + (step.isAtHand(engine, model) ? 0 : m_options.storePrice);
            const double gain = step.gain(model, engine, pressure, moved) - price;
            const double yielding = std::max(m_options.yieldingShare, m_options.yieldingPart * moved);
            if (gain > (best ? best->gain : m_options.leastGain) && (fits || !step.victims(engine, yielding).empty())) {
                best = Choice{model, engine, gain, MoveReason::Demand};
            }
        }
    }
    return best;
}

/// Load pattern: engines are replaced one after the other and take the only replicas of many models with them, while demand
/// moves. Each engine goes to what gains most there, be it a missing model or a busy one.
void ReplicaPlanner::choose(Step &step, bool mayRestore, base::Time now)
{
    const auto missing = mayRestore ? missingModels(step) : std::vector<std::uint32_t>();
    auto next = missing.begin();
    for (std::size_t n = 0; n < MostIntentsPerStep; ++n) {
        const auto relief = bestRelief(step);
        const auto restore = next == missing.end() ? std::nullopt : bestRestore(step, *next);
        if (!relief && !restore) {
            return;
        }
        const bool isRestore = !relief || (restore && restore->gain >= relief->gain);
        const auto &best = isRestore ? *restore : *relief;
        next += isRestore ? 1 : 0;
        m_intents.insert_or_assign(step.input.engines[best.engine].id,
                                   Intent{step.names[best.model], best.reason, now + m_options.intentTime, best.gain, false});
        step.spread.replicas[best.model].push_back(best.engine);
        step.rebalanceAll();
    }
}

/// One at a time, and behind everything else: it pays only when the next shift comes.
void ReplicaPlanner::unlockOne(Step &step, base::Time now)
{
    if (step.storeLoads < m_options.unlockStoreLoads || !m_intents.empty()) {
        return;
    }
    std::optional<std::pair<std::uint32_t, std::uint32_t>> best; // model, engine that takes it
    std::pair<bool, double> bestRank;
    for (std::uint32_t locked = 0; locked < step.input.engines.size(); ++locked) {
        if (!step.isLocked(locked)) {
            continue;
        }
        for (std::uint32_t engine = 0; engine < step.input.engines.size(); ++engine) {
            const auto yielding = step.victims(engine, m_options.unlockShare).size() + (step.isFull(engine) ? 0 : 1);
            if (!step.input.engines[engine].acceptsOrders || yielding < 2) {
                continue;
            }
            for (const auto model : step.presentOn[locked]) {
                const std::pair rank(!step.isAtHand(engine, model), step.load(model).load + step.result.load[engine]);
                if (!best || rank < bestRank) {
                    best = {model, engine};
                    bestRank = rank;
                }
            }
        }
    }
    if (best) {
        m_intents.insert_or_assign(step.input.engines[best->second].id,
                                   Intent{step.names[best->first], MoveReason::Unlock, now + m_options.intentTime, m_options.leastGain, false});
        step.spread.replicas[best->first].push_back(best->second);
    }
}

void ReplicaPlanner::emit(Step &step, std::vector<Move> &moves)
{
    // The weight store's rate goes to those that gain most.
    std::vector<std::pair<double, std::uint32_t>> order;
    for (std::uint32_t engine = 0; engine < step.input.engines.size(); ++engine) {
        const auto &view = step.input.engines[engine];
        const auto intent = m_intents.find(view.id);
        if (intent != m_intents.end() && view.acceptsOrders) {
            order.emplace_back(-intent->second.gain, engine);
        }
    }
    std::ranges::sort(order);
    // Room that waits for the weight store serves nobody.
    std::uint32_t roomsLeft = step.storeLoads + m_options.roomsAhead;
    for (const auto &it : order) {
        const auto engine = it.second;
        const auto &view = step.input.engines[engine];
        auto &[model, reason, until, gain, hasRoom] = m_intents.at(view.id);
        const auto memory = step.input.models.at(model).memoryMb;
        const bool isAtHand = view.atHand.contains(model);
        if (!isAtHand && roomsLeft == 0) {
            continue;
        }
        roomsLeft -= isAtHand ? 0 : 1;
        if (step.freeMemory(engine) >= std::int64_t(memory)) {
            if (isAtHand || step.storeLoads > 0) {
                step.storeLoads -= isAtHand ? 0 : 1;
                moves.push_back({OrderKind::Load, view.id, modelResident(model), {}, memory, reason, gain});
            }
            continue;
        }
        const auto victims = step.victims(engine, AnyShare);
        if (!victims.empty()) {
            hasRoom = true;
            moves.push_back({OrderKind::Unload, view.id, modelResident(step.names[victims.front()]), {}, 0, MoveReason::MakeRoom, gain});
        }
    }
}

} // namespace turmericplank::placement
