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
constexpr double ScaleUpUse = 0.8; // of a model's streams on its replicas
constexpr double ScaleDownUse = 0.3;
constexpr std::size_t ScaleDownSeconds = 60; // below the lower mark
constexpr double NominalShare = 4.0; // models that share an endpoint's streams

Demand trueDemand(const Trace &trace, std::size_t begin, std::size_t end, bool takesHighest)
{
    Demand demand;
    for (const auto &[name, model] : trace.models) {
        double rate = 0;
        for (std::size_t n = begin; n < std::min(end, trace.seconds); ++n) {
            const double now = model.requestsPerSecond[n];
            rate = takesHighest ? std::max(rate, now) : rate + now / static_cast<double>(end - begin);
        }
        demand.models.emplace(name, placement::ModelDemand{rate, rate * model.serviceSeconds, rate * model.serviceSeconds});
    }
    return demand;
}

PlanInput withoutPrice(const PlanInput &input)
{
    auto changed = input;
    auto document = std::make_shared<configuration::Document>(*input.document);
    document->placement.movePrice = 1e-3;
    changed.document = document;
    return changed;
}

/// Scaling of single models by their own use, as a common autoscaler does it.
class ReactiveScaler
{
public:
    std::vector<Move> plan(const PlanInput &input, std::size_t second)
    {
        // What no autoscaler leaves out: reachable models, configured versions, removed models, adapters.
        auto repairs = input;
        repairs.demand.models.clear();
        auto moves = placement::plan(repairs, PlannerOptions());
        std::size_t loads = input.loadsAllowed;
        for (const auto &move : moves) {
            loads -= move.kind == OrderKind::Load && loads > 0 ? 1 : 0;
        }
        for (const auto &[name, model] : input.document->models) {
            scale(input, model, second, moves, loads);
        }
        return moves;
    }

private:
    struct Held
    {
        std::vector<const placement::EndpointView *> endpoints;
        std::size_t arriving = 0;
    };

    static Held find(const PlanInput &input, const configuration::Model &model)
    {
        Held held;
        for (const auto &view : input.endpoints) {
            const auto it = view.residents.find(Resident{model.name, model.version, {}});
            if (it != view.residents.end() && it->second != ResidentState::Leaving) {
                held.endpoints.push_back(&view);
                held.arriving += it->second == ResidentState::Arriving ? 1 : 0;
            }
        }
        return held;
    }

    void scale(const PlanInput &input, const configuration::Model &model, std::size_t second, std::vector<Move> &moves, std::size_t &loads)
    {
        const auto held = find(input, model);
        const auto it = input.demand.models.find(model.name);
        if (held.endpoints.empty() || it == input.demand.models.end()) {
            return;
        }
        const double perReplica = held.endpoints.front()->concurrency / NominalShare;
        const double use = it->second.streams / (perReplica * static_cast<double>(held.endpoints.size()));
        if (use >= ScaleDownUse) {
            m_lowSince[model.name] = second;
        }
        if (use > ScaleUpUse && loads > 0) {
            up(input, model, held, moves, loads);
        } else if (use < ScaleDownUse && second > m_lowSince[model.name] + ScaleDownSeconds && held.endpoints.size() > model.minimumReplicas + 1) {
            m_lowSince[model.name] = second;
            unload(*held.endpoints.back(), model, moves);
        }
    }

    static void up(const PlanInput &input, const configuration::Model &model, const Held &held, std::vector<Move> &moves, std::size_t &loads)
    {
        const placement::EndpointView *best = nullptr;
        for (const auto &view : input.endpoints) {
            const bool isHeld = std::find(held.endpoints.begin(), held.endpoints.end(), &view) != held.endpoints.end();
            const bool fits = view.committedMib + model.memoryMib <= view.capacityMib;
            if (isHeld || !fits || !view.acceptsOrders || (best != nullptr && view.committedMib >= best->committedMib)) {
                continue;
            }
            best = &view;
        }
        if (best != nullptr) {
            --loads;
            moves.push_back({OrderKind::Load, best->id, {model.name, model.version, {}}, {}, model.memoryMib, MoveReason::Demand, 0});
        }
    }

    static void unload(const placement::EndpointView &view, const configuration::Model &model, std::vector<Move> &moves)
    {
        for (const auto &[resident, state] : view.residents) {
            if (!resident.adapter.isEmpty() && resident.model == model.name) {
                moves.push_back({OrderKind::UnloadAdapter, view.id, resident, {}, 0, MoveReason::Demand, 0});
            }
        }
        moves.push_back({OrderKind::Unload, view.id, {model.name, model.version, {}}, {}, model.memoryMib, MoveReason::Demand, 0});
    }

    std::map<base::ModelName, std::size_t> m_lowSince;
};

} // namespace

Policy ownPolicy()
{
    return [](const PlanInput &input, const Moment &) {
        return placement::plan(input, PlannerOptions());
    };
}

Policy staticPolicy()
{
    auto average = std::make_shared<std::optional<Demand>>();
    return [average](const PlanInput &input, const Moment &moment) {
        if (!*average) {
            *average = trueDemand(moment.trace, WarmUpSeconds, moment.trace.seconds, false);
        }
        auto changed = moment.second < WarmUpSeconds ? withoutPrice(input) : input;
        if (moment.second < WarmUpSeconds) {
            changed.demand = **average;
        } else {
            changed.demand = {};
        }
        return placement::plan(changed, PlannerOptions());
    };
}

Policy reactivePolicy()
{
    auto scaler = std::make_shared<ReactiveScaler>();
    return [scaler](const PlanInput &input, const Moment &moment) {
        return scaler->plan(input, moment.second);
    };
}

Policy foresightPolicy()
{
    return [](const PlanInput &input, const Moment &moment) {
        auto changed = withoutPrice(input);
        changed.demand = trueDemand(moment.trace, moment.second, moment.second + ForesightSeconds, true);
        return placement::plan(changed, PlannerOptions());
    };
}

} // namespace turmericplank::bench::policies
