#include "turmericplank/placement/replicaplanner.hpp"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::placement;

namespace {

constexpr std::uint32_t ModelMemory = 70;
constexpr std::uint32_t EngineMemory = 230; ///< three models

Resident resident(const std::string &name)
{
    return {base::ModelName(name), {}, {}};
}

/// Engines that carry out every move at once.
struct Simulation
{
    explicit Simulation(std::size_t engines)
    {
        for (std::size_t n = 0; n < engines; ++n) {
            EngineSnapshot engine;
            engine.id = base::EndpointId("e" + std::to_string(n));
            engine.capacityMib = EngineMemory;
            engine.acceptsOrders = true;
            input.engines.push_back(engine);
        }
        input.storeLoadsAllowed = 2;
    }

    void addReplica(std::size_t engine, const std::string &name)
    {
        auto &it = input.engines[engine];
        it.residents[resident(name)] = ResidentState::Present;
        it.committedMib += ModelMemory;
        input.models.try_emplace(base::ModelName(name), ModelRequirements{ModelMemory, 0});
    }

    void setLoad(const std::string &name, double engines)
    {
        input.models[base::ModelName(name)] = {ModelMemory, engines};
    }

    std::size_t replicaCount(const std::string &name) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(input.engines, [&](const auto &it) { return it.residents.contains(resident(name)); }));
    }

    /// @return number of loads
    std::size_t run(int steps)
    {
        std::size_t loads = 0;
        for (int n = 0; n < steps; ++n) {
            now += std::chrono::milliseconds(250);
            for (const auto &move : planner.plan(input, now)) {
                auto &it = *std::ranges::find(input.engines, move.endpoint, &EngineSnapshot::id);
                if (move.kind == OrderKind::Load) {
                    it.residents[move.resident] = ResidentState::Present;
                    it.committedMib += ModelMemory;
                    ++loads;
                } else {
                    it.residents.erase(move.resident);
                    it.committedMib -= ModelMemory;
                }
                CHECK(it.committedMib <= EngineMemory);
                for (const auto &[name, load] : input.models) {
                    CHECK(replicaCount(name.text()) > 0);
                }
            }
        }
        return loads;
    }

    ReplicaPlannerInput input;
    ReplicaPlanner planner;
    base::Time now = base::timeFromMilliseconds(1000);
};

} // namespace

TEST_CASE("a model whose demand multiplies gets engines from a model without demand")
{
    // Twelve full engines hold replicas of a formerly popular model and single replicas of rare models. Demand moves to a rare model.
    Simulation simulation(12);
    for (std::size_t n = 0; n < 12; ++n) {
        simulation.addReplica(n, "old");
        simulation.addReplica(n, "rare" + std::to_string(n));
        simulation.addReplica(n, "spare" + std::to_string(n / 2));
    }
    simulation.setLoad("old", 0.2);
    simulation.setLoad("rare0", 3.0);
    simulation.run(20);
    CHECK(simulation.replicaCount("rare0") >= 6);
    for (std::size_t n = 0; n < 12; ++n) {
        CHECK(simulation.replicaCount("rare" + std::to_string(n)) >= 1);
    }
}

TEST_CASE("steady demand does not move replicas back and forth")
{
    Simulation simulation(6);
    for (std::size_t n = 0; n < 6; ++n) {
        simulation.addReplica(n, "a");
        simulation.addReplica(n, "b");
        simulation.addReplica(n, "c");
    }
    simulation.setLoad("a", 1.6);
    simulation.setLoad("b", 0.9);
    CHECK(simulation.run(40) == 0);
}

TEST_CASE("a model without an engine is loaded from a local copy, but not while engines may still appear")
{
    Simulation simulation(3);
    simulation.addReplica(0, "a");
    simulation.addReplica(1, "a");
    simulation.setLoad("lost", 0);
    simulation.input.engines[2].localCopies.insert(base::ModelName("lost"));
    simulation.input.storeLoadsAllowed = 0;
    simulation.input.mayLoadMissing = false;
    CHECK(simulation.planner.plan(simulation.input, simulation.now).empty());
    simulation.input.mayLoadMissing = true;
    const auto moves = simulation.planner.plan(simulation.input, simulation.now);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].endpoint.text() == "e2");
    CHECK(moves[0].resident.model.text() == "lost");
}

TEST_CASE("memory freed for one model is not given to another")
{
    Simulation simulation(2);
    for (std::size_t n = 0; n < 2; ++n) {
        simulation.addReplica(n, "x");
        simulation.addReplica(n, "y");
        simulation.addReplica(n, "z");
    }
    simulation.addReplica(0, "hot");
    simulation.input.engines[0].residents.erase(resident("z"));
    simulation.input.engines[0].committedMib -= ModelMemory;
    simulation.setLoad("hot", 0.9);
    const auto first = simulation.planner.plan(simulation.input, simulation.now);
    REQUIRE(first.size() == 1);
    CHECK((first[0].kind == OrderKind::Unload));
    auto &engine = simulation.input.engines[1];
    engine.residents.erase(first[0].resident);
    engine.committedMib -= ModelMemory;
    simulation.setLoad("x", 5);
    const auto second = simulation.planner.plan(simulation.input, simulation.now + std::chrono::milliseconds(250));
    REQUIRE(second.size() == 1);
    CHECK(second[0].resident.model.text() == "hot");
}

TEST_CASE("a model with high demand gets engines before the rare models that share its engines")
{
    // Rare models share the engines of a model whose demand has multiplied. More engines for that model relieve all of them.
    Simulation simulation(10);
    for (std::size_t n = 0; n < 10; ++n) {
        simulation.addReplica(n, "calm");
        simulation.addReplica(n, "spare");
        simulation.addReplica(n, "rare" + std::to_string(n));
        simulation.setLoad("rare" + std::to_string(n), 0.05);
    }
    simulation.input.engines[0].residents.erase(resident("spare"));
    simulation.input.engines[0].residents[resident("hot")] = ResidentState::Present;
    simulation.setLoad("hot", 4.0);
    simulation.input.storeLoadsAllowed = 8;
    simulation.run(2);
    CHECK(simulation.replicaCount("hot") >= 5);
    for (std::size_t n = 0; n < 10; ++n) {
        CHECK(simulation.replicaCount("rare" + std::to_string(n)) == 1);
    }
}

TEST_CASE("the missing model with the highest demand is loaded from the weight store first")
{
    // Three engines are empty after a crash, and only one load may start.
    Simulation simulation(3);
    simulation.setLoad("a_rare", 0);
    simulation.setLoad("b_rare", 0.01);
    simulation.setLoad("hot", 2.0);
    simulation.input.storeLoadsAllowed = 1;
    const auto moves = simulation.planner.plan(simulation.input, simulation.now);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].resident.model.text() == "hot");
}

TEST_CASE("a load that waits for the weight store is replaced when demand for another model becomes higher")
{
    Simulation simulation(2);
    simulation.addReplica(0, "before");
    simulation.addReplica(0, "after");
    simulation.setLoad("before", 3.0);
    simulation.input.storeLoadsAllowed = 0;
    CHECK(simulation.planner.plan(simulation.input, simulation.now).empty());
    simulation.setLoad("before", 0.1);
    simulation.setLoad("after", 3.0);
    simulation.input.storeLoadsAllowed = 1;
    const auto moves = simulation.planner.plan(simulation.input, simulation.now + std::chrono::milliseconds(250));
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].resident.model.text() == "after");
}

TEST_CASE("engines that hold only sole replicas are unlocked before demand shifts")
{
    // Two engines hold only models that no other engine holds; the two others hold the same three models.
    Simulation simulation(4);
    for (std::size_t n = 0; n < 3; ++n) {
        simulation.addReplica(0, "rare" + std::to_string(n));
        simulation.addReplica(1, "rare" + std::to_string(3 + n));
        simulation.addReplica(2, "copy" + std::to_string(n));
        simulation.addReplica(3, "copy" + std::to_string(n));
    }
    simulation.run(20);
    simulation.setLoad("rare0", 4.0);
    simulation.run(20);
    CHECK(simulation.replicaCount("rare0") == 4);
}

TEST_CASE("missing models with little demand do not take engines from a busy model")
{
    // Most engines were replaced and are empty, many models have no replica, and nearly all demand is for one model.
    Simulation simulation(8);
    simulation.addReplica(0, "hot");
    simulation.setLoad("hot", 9.0);
    for (std::size_t n = 0; n < 12; ++n) {
        simulation.setLoad("rare" + std::to_string(n), 0.01);
    }
    simulation.input.storeLoadsAllowed = 3;
    std::size_t hot = 0;
    for (const auto &move : simulation.planner.plan(simulation.input, simulation.now)) {
        hot += move.resident.model.text() == "hot" ? 1 : 0;
    }
    CHECK(hot == 3);
}
