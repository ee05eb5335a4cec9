#include "turmericplank/placement/replicaplanner.hpp"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::placement;

namespace {

constexpr std::uint32_t ModelMemory = 70;
constexpr std::uint32_t EngineMemory = 230; ///< three models

Resident model(const std::string &name)
{
    return {base::ModelName(name), {}, {}};
}

/// Engines that carry out every order at once.
struct World
{
    explicit World(std::size_t engines)
    {
        for (std::size_t n = 0; n < engines; ++n) {
            EndpointView it;
            it.id = base::EndpointId("e" + std::to_string(n));
            it.capacityMib = EngineMemory;
            it.acceptsOrders = true;
            input.engines.push_back(it);
        }
        input.storeLoads = 2;
    }

    void hold(std::size_t engine, const std::string &name)
    {
        auto &it = input.engines[engine];
        it.residents[model(name)] = ResidentState::Present;
        it.committedMib += ModelMemory;
        input.models.try_emplace(base::ModelName(name), ModelRequirements{ModelMemory, 0});
    }

    void load(const std::string &name, double engines)
    {
        input.models[base::ModelName(name)] = {ModelMemory, engines};
    }

    std::size_t replicas(const std::string &name) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(input.engines, [&](const auto &it) { return it.residents.contains(model(name)); }));
    }

    /// @return loads carried out
    std::size_t run(int steps)
    {
        std::size_t loads = 0;
        for (int n = 0; n < steps; ++n) {
            now += std::chrono::milliseconds(250);
            for (const auto &move : planner.plan(input, now)) {
                auto &it = *std::ranges::find(input.engines, move.endpoint, &EndpointView::id);
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
                    CHECK(replicas(name.text()) > 0);
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

TEST_CASE("a model whose demand multiplies gets engines from one that fell silent")
{
    // Twelve engines full with copies of an old favourite and single copies of rare models; the demand moves to one of those.
    World world(12);
    for (std::size_t n = 0; n < 12; ++n) {
        world.hold(n, "old");
        world.hold(n, "rare" + std::to_string(n));
        world.hold(n, "spare" + std::to_string(n / 2));
    }
    world.load("old", 0.2);
    world.load("rare0", 3.0);
    world.run(20);
    CHECK(world.replicas("rare0") >= 6);
    for (std::size_t n = 0; n < 12; ++n) {
        CHECK(world.replicas("rare" + std::to_string(n)) >= 1);
    }
}

TEST_CASE("steady demand does not move replicas back and forth")
{
    World world(6);
    for (std::size_t n = 0; n < 6; ++n) {
        world.hold(n, "a");
        world.hold(n, "b");
        world.hold(n, "c");
    }
    world.load("a", 1.6);
    world.load("b", 0.9);
    CHECK(world.run(40) == 0);
}

TEST_CASE("a model that no engine holds is loaded where a copy is at hand, unless engines may still appear")
{
    World world(3);
    world.hold(0, "a");
    world.hold(1, "a");
    world.load("lost", 0);
    world.input.engines[2].atHand.insert(base::ModelName("lost"));
    world.input.storeLoads = 0;
    world.input.mayRestore = false;
    CHECK(world.planner.plan(world.input, world.now).empty());
    world.input.mayRestore = true;
    const auto moves = world.planner.plan(world.input, world.now);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].endpoint.text() == "e2");
    CHECK(moves[0].resident.model.text() == "lost");
}

TEST_CASE("room that was made for one model is not given to another")
{
    World world(2);
    for (std::size_t n = 0; n < 2; ++n) {
        world.hold(n, "x");
        world.hold(n, "y");
        world.hold(n, "z");
    }
    world.hold(0, "hot");
    world.input.engines[0].residents.erase(model("z"));
    world.input.engines[0].committedMib -= ModelMemory;
    world.load("hot", 0.9);
    const auto first = world.planner.plan(world.input, world.now);
    REQUIRE(first.size() == 1);
    CHECK((first[0].kind == OrderKind::Unload));
    auto &engine = world.input.engines[1];
    engine.residents.erase(first[0].resident);
    engine.committedMib -= ModelMemory;
    world.load("x", 5);
    const auto second = world.planner.plan(world.input, world.now + std::chrono::milliseconds(250));
    REQUIRE(second.size() == 1);
    CHECK(second[0].resident.model.text() == "hot");
}

TEST_CASE("a hot model goes before the rare ones that suffer beside it")
{
    // Rare models share the engines of one whose demand has multiplied: more engines for that one help them all.
    World world(10);
    for (std::size_t n = 0; n < 10; ++n) {
        world.hold(n, "calm");
        world.hold(n, "spare");
        world.hold(n, "rare" + std::to_string(n));
        world.load("rare" + std::to_string(n), 0.05);
    }
    world.input.engines[0].residents.erase(model("spare"));
    world.input.engines[0].residents[model("hot")] = ResidentState::Present;
    world.load("hot", 4.0);
    world.input.storeLoads = 8;
    world.run(2);
    CHECK(world.replicas("hot") >= 5);
    for (std::size_t n = 0; n < 10; ++n) {
        CHECK(world.replicas("rare" + std::to_string(n)) == 1);
    }
}

TEST_CASE("the weight store's rate goes to the missing model that most ask for")
{
    // Three engines come back empty after a crash, and one load may begin.
    World world(3);
    world.load("a_rare", 0);
    world.load("b_rare", 0.01);
    world.load("hot", 2.0);
    world.input.storeLoads = 1;
    const auto moves = world.planner.plan(world.input, world.now);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].resident.model.text() == "hot");
}

TEST_CASE("a load that waits for the weight store's rate gives way to a greater demand that comes meanwhile")
{
    World world(2);
    world.hold(0, "before");
    world.hold(0, "after");
    world.load("before", 3.0);
    world.input.storeLoads = 0;
    CHECK(world.planner.plan(world.input, world.now).empty());
    world.load("before", 0.1);
    world.load("after", 3.0);
    world.input.storeLoads = 1;
    const auto moves = world.planner.plan(world.input, world.now + std::chrono::milliseconds(250));
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].resident.model.text() == "after");
}

TEST_CASE("engines full of only replicas are made able to yield before the next shift")
{
    // Two engines hold nothing but models that no other engine holds, the two others nothing but copies of a favourite's company.
    World world(4);
    for (std::size_t n = 0; n < 3; ++n) {
        world.hold(0, "rare" + std::to_string(n));
        world.hold(1, "rare" + std::to_string(3 + n));
        world.hold(2, "copy" + std::to_string(n));
        world.hold(3, "copy" + std::to_string(n));
    }
    world.run(20);
    world.load("rare0", 4.0);
    world.run(20);
    CHECK(world.replicas("rare0") == 4);
}

TEST_CASE("missing models that few ask for do not take the engines from a busy one")
{
    // Engines that were replaced come back empty, one model each of many is nowhere, and all callers want one other model.
    World world(8);
    world.hold(0, "hot");
    world.load("hot", 9.0);
    for (std::size_t n = 0; n < 12; ++n) {
        world.load("rare" + std::to_string(n), 0.01);
    }
    world.input.storeLoads = 3;
    std::size_t hot = 0;
    for (const auto &move : world.planner.plan(world.input, world.now)) {
        hot += move.resident.model.text() == "hot" ? 1 : 0;
    }
    CHECK(hot == 3);
}
