#include <algorithm>
#include <map>
#include <memory>

#include "placementrun.hpp"

namespace turmericplank::bench::policies {

namespace {

using placement::Demand;
using placement::Move;
using placement::MoveReason;
using placement::OrderKind;
using placement::PlanInput;
using placement::PlannerOptions;
using placement::Resident;
using placement::ResidentState;

constexpr std::size_t ForesightSeconds = 30;
constexpr double ScaleUpUtilization = 0.8; // streams of a model, relative to the capacity of its replicas
constexpr double ScaleDownUtilization = 0.3;
constexpr std::size_t ScaleDownSeconds = 60; // time below ScaleDownUtilization before a replica is removed
constexpr double ModelsPerEndpoint = 4.0; // number of models assumed to share an endpoint's streams

Demand actualDemand(const Trace &trace, std::size_t begin, std::size_t end, bool usesPeak)
{
    Demand demand;
    for (const auto &[name, model] : trace.models) {
        double rate = 0;
        for (std::size_t n = begin; n < std::min(end, trace.seconds); ++n) {
            const double current = model.requestsPerSecond[n];
            rate = usesPeak ? std::max(rate, current) : rate + current / static_cast<double>(end - begin);
        }
        demand.models.emplace(name, placement::ModelDemand{rate, rate * model.serviceSeconds, rate * model.serviceSeconds});
    }
    return demand;
}

PlanInput withMinimalMovePrice(const PlanInput &input)
{
    auto changed = input;
    auto document = std::make_shared<configuration::Document>(*input.document);
    document->placement.movePrice = 1e-3;
    changed.document = document;
    return changed;
}

/// Scales each model by its own utilization, like a common autoscaler.
class ReactiveScaler
{
public:
    std::vector<Move> plan(const PlanInput &input, std::size_t second)
    {
        // The repairs that any autoscaler makes too: unreachable models, outdated versions, removed models, adapters.
        auto repairs = input;
        repairs.demand.models.clear();
        auto moves = placement::plan(repairs, PlannerOptions());
        std::size_t loadsLeft = input.loadsAllowed;
        for (const auto &move : moves) {
            loadsLeft -= move.kind == OrderKind::Load && loadsLeft > 0 ? 1 : 0;
        }
        for (const auto &[name, model] : input.document->models) {
            scale(input, model, second, moves, loadsLeft);
        }
        return moves;
    }

private:
    struct ModelReplicas
    {
        std::vector<const placement::EngineSnapshot *> endpoints;
        std::size_t arriving = 0;
    };

    static ModelReplicas findReplicas(const PlanInput &input, const configuration::Model &model)
    {
        ModelReplicas replicas;
        for (const auto &view : input.endpoints) {
            const auto it = view.residents.find(Resident{model.name, model.version, {}});
            if (it != view.residents.end() && it->second != ResidentState::Leaving) {
                replicas.endpoints.push_back(&view);
                replicas.arriving += it->second == ResidentState::Arriving ? 1 : 0;
            }
        }
        return replicas;
    }

    void scale(const PlanInput &input, const configuration::Model &model, std::size_t second, std::vector<Move> &moves, std::size_t &loadsLeft)
    {
        const auto replicas = findReplicas(input, model);
        const auto it = input.demand.models.find(model.name);
        if (replicas.endpoints.empty() || it == input.demand.models.end()) {
            return;
        }
        const double capacityPerReplica = replicas.endpoints.front()->concurrency / ModelsPerEndpoint;
        const double utilization = it->second.streams / (capacityPerReplica * static_cast<double>(replicas.endpoints.size()));
        if (utilization >= ScaleDownUtilization) {
            m_lowSince[model.name] = second;
        }
        if (utilization > ScaleUpUtilization && loadsLeft > 0) {
            scaleUp(input, model, replicas, moves, loadsLeft);
        } else if (utilization < ScaleDownUtilization && second > m_lowSince[model.name] + ScaleDownSeconds
                   && replicas.endpoints.size() > model.minimumReplicas + 1) {
            m_lowSince[model.name] = second;
            unload(*replicas.endpoints.back(), model, moves);
        }
    }

    static void scaleUp(const PlanInput &input, const configuration::Model &model, const ModelReplicas &replicas, std::vector<Move> &moves,
                        std::size_t &loadsLeft)
    {
        const placement::EngineSnapshot *best = nullptr;
        for (const auto &view : input.endpoints) {
            const bool holdsModel = std::find(replicas.endpoints.begin(), replicas.endpoints.end(), &view) != replicas.endpoints.end();
            const bool fits = view.committedMib + model.memoryMib <= view.capacityMib;
            if (holdsModel || !fits || !view.acceptsOrders || (best != nullptr && view.committedMib >= best->committedMib)) {
                continue;
            }
            best = &view;
        }
        if (best != nullptr) {
            --loadsLeft;
            moves.push_back({OrderKind::Load, best->id, {model.name, model.version, {}}, {}, model.memoryMib, MoveReason::Demand, 0});
        }
    }

    static void unload(const placement::EngineSnapshot &view, const configuration::Model &model, std::vector<Move> &moves)
    {
        for (const auto &[resident, state] : view.residents) {
            if (!resident.adapter.isEmpty() && resident.model == model.name) {
                moves.push_back({OrderKind::UnloadAdapter, view.id, resident, {}, 0, MoveReason::Demand, 0});
            }
        }
        moves.push_back({OrderKind::Unload, view.id, {model.name, model.version, {}}, {}, model.memoryMib, MoveReason::Demand, 0});
    }

    std::map<base::ModelName, std::size_t> m_lowSince; ///< last second in which the utilization was not low
};

} // namespace

Policy ownPolicy()
{
    return [](const PlanInput &input, const PolicyContext &) {
        return placement::plan(input, PlannerOptions());
    };
}

Policy staticPolicy()
{
    auto averageDemand = std::make_shared<std::optional<Demand>>();
    return [averageDemand](const PlanInput &input, const PolicyContext &context) {
        if (!*averageDemand) {
            *averageDemand = actualDemand(context.trace, WarmUpSeconds, context.trace.seconds, false);
        }
        auto changed = context.second < WarmUpSeconds ? withMinimalMovePrice(input) : input;
        if (context.second < WarmUpSeconds) {
            changed.demand = **averageDemand;
        } else {
            changed.demand = {};
        }
        return placement::plan(changed, PlannerOptions());
    };
}

Policy reactivePolicy()
{
    auto scaler = std::make_shared<ReactiveScaler>();
    return [scaler](const PlanInput &input, const PolicyContext &context) {
        return scaler->plan(input, context.second);
    };
}

Policy foresightPolicy()
{
    return [](const PlanInput &input, const PolicyContext &context) {
        auto changed = withMinimalMovePrice(input);
        changed.demand = actualDemand(context.trace, context.second, context.second + ForesightSeconds, true);
        return placement::plan(changed, PlannerOptions());
    };
}

} // namespace turmericplank::bench::policies
