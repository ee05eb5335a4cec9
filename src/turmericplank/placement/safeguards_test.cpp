#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "testsimulation.hpp"

using namespace turmericplank::placement;
using namespace turmericplank::placement::test;

namespace {

constexpr std::uint32_t Seeds = 2000; // tried until one breaks
constexpr std::uint32_t SafeSeeds = 40;
constexpr auto Takeover = std::chrono::seconds(20);

struct Scenario
{
    std::string name;
    std::string violation; ///< what happens without the safeguard
    bool Safeguards::*safeguard;
    std::function<void(World &)> run;
    std::vector<bool> checksFencing = {false, true, false, true};
};

/// A holder is paused before a send; another takes over, and the first wakes up.
void wakeLate(World &world)
{
    world.run(Takeover);
    world.pauseBefore(isLoad);
    world.run(Takeover);
    world.resumeAll();
    world.run(Takeover);
}

void wakeAfterRestart(World &world)
{
    world.run(Takeover);
    world.pauseBefore(isLoad);
    world.run(Takeover);
    world.restartEngines();
    world.run(std::chrono::seconds(8));
    world.resumeAll();
    world.run(Takeover);
}

/// Two holders' sends reach engines that have just restarted.
void wakeTwoAfterRestart(World &world)
{
    world.run(Takeover);
    world.pauseBefore(isLoad);
    world.run(Takeover);
    world.pauseBefore(isLoad);
    world.run(std::chrono::seconds(2));
    world.restartEngines();
    world.resumeAll();
    world.run(Takeover);
}

/// A second holder is paused before it repeats an order of the first, which restarts and acknowledges.
void wakeHeir(World &world)
{
    world.run(Takeover);
    world.pauseBefore(isLoad);
    world.run(std::chrono::seconds(4));
    world.pauseBefore(isLoad);
    world.run(std::chrono::seconds(16));
    for (std::size_t n = 0; n < 3; ++n) {
        if (world.isPaused(n)) {
            world.restartHolder(n);
            break;
        }
    }
    world.run(std::chrono::seconds(40));
    world.restartEngines();
    world.run(std::chrono::seconds(15));
    world.resumeAll();
    world.run(std::chrono::seconds(5));
}

/// The first holder went on without the table, so no row tells of its last order.
void wakeWithoutTable(World &world)
{
    world.run(Takeover);
    world.table().isDown = true;
    world.run(std::chrono::seconds(4));
    world.pauseBefore(isLoad);
    world.run(std::chrono::seconds(4));
    world.table().isDown = false;
    world.run(Takeover);
    world.pauseBefore(isLoad);
    world.run(std::chrono::seconds(2));
    world.resumeAll();
    world.run(Takeover);
}

void wakeBeforeWrite(World &world)
{
    world.run(Takeover);
    world.pauseBefore(isWrite);
    world.run(Takeover);
    world.resumeAll();
    world.run(Takeover);
}

void loseAnswers(World &world)
{
    for (int n = 0; n < 12; ++n) {
        world.addSendFate(n % 2 == 0 ? SendFate::Late : SendFate::AnswerLost);
        world.run(std::chrono::seconds(5));
        world.deliverLate(0);
    }
}

/// A paused holder asks again after an order; the engine restarts, and an inventory from before comes in last.
void restartWhileAsking(World &world)
{
    world.run(std::chrono::seconds(10));
    world.pauseBefore(isLoad);
    world.run(std::chrono::seconds(3));
    world.addSendFate(SendFate::Late);
    world.restartEngines();
    world.resumeAll();
    world.run(Takeover);
    world.deliverLate(0);
}

void runLong(World &world)
{
    world.run(std::chrono::minutes(2));
}

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all = {
        {"recordsBeforeSending", "overcommitted", &Safeguards::recordsBeforeSending, wakeLate},
        {"settlesInheritedOrders", "overcommitted", &Safeguards::settlesInheritedOrders, wakeLate},
        {"writesUnderLease", "two holders", &Safeguards::writesUnderLease, wakeBeforeWrite},
        {"chargesOpenLoads", "overcommitted", &Safeguards::chargesOpenLoads, runLong},
        {"repeatsOpenOrders", "overcommitted", &Safeguards::repeatsOpenOrders, loseAnswers},
        {"reopensAfterRestart", "overcommitted", &Safeguards::reopensAfterRestart, wakeAfterRestart},
        {"mindsEveryHolder", "overcommitted", &Safeguards::mindsEveryHolder, wakeHeir, {false, false, false}},
        {"reservesForRestart", "overcommitted", &Safeguards::reservesForRestart, wakeTwoAfterRestart},
        {"sendsTermFirst", "overcommitted", &Safeguards::sendsTermFirst, wakeWithoutTable, {true, true}},
        {"discardsStaleInventories", "overcommitted", &Safeguards::discardsStaleInventories, runLong},
        {"settlesByLaterInventories", "overcommitted", &Safeguards::settlesByLaterInventories, restartWhileAsking},
        {"keepsLastReplica", "unreachable", &Safeguards::keepsLastReplica, runLong},
        {"stopsBeforeLapse", "two holders", &Safeguards::stopsBeforeLapse, wakeBeforeWrite},
    };
    return all;
}

std::string runScenario(const Scenario &scenario, const Safeguards &safeguards, std::uint32_t seed)
{
    WorldOptions options;
    options.seed = seed;
    options.safeguards = safeguards;
    options.randomMoves = 0.9;
    options.checksFencing = scenario.checksFencing;
    World world(options);
    scenario.run(world);
    return world.violation();
}

} // namespace

TEST_CASE("without a safeguard its scenario breaks the promise that it keeps")
{
    for (const auto &scenario : scenarios()) {
        CAPTURE(scenario.name);
        Safeguards safeguards;
        safeguards.*scenario.safeguard = false;
        bool isBroken = false;
        std::uint32_t seed = 0;
        while (!isBroken && seed < Seeds) {
            isBroken = runScenario(scenario, safeguards, ++seed).starts_with(scenario.violation);
        }
        CHECK(isBroken);
    }
}

TEST_CASE("with all safeguards no scenario breaks anything")
{
    for (const auto &scenario : scenarios()) {
        for (std::uint32_t seed = 1; seed <= SafeSeeds; ++seed) {
            CAPTURE(scenario.name);
            CAPTURE(seed);
            CHECK(runScenario(scenario, Safeguards(), seed).empty());
        }
    }
}

TEST_CASE("a world without faults serves all models under one holder")
{
    WorldOptions options;
    options.randomMoves = 0;
    World world(options);
    world.run(std::chrono::seconds(60));
    CHECK(world.reachableModels() == 5);
    CHECK(world.holding() == 1);
}
