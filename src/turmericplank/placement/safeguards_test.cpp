#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "testsimulation.hpp"

using namespace turmericplank::placement;
using namespace turmericplank::placement::test;

namespace {

constexpr std::uint32_t MaxSeeds = 2000; // seeds tried until the invariant is violated
constexpr std::uint32_t SeedsWithSafeguards = 40; // seeds run per scenario with all safeguards on
constexpr auto TakeoverTime = std::chrono::seconds(20);

/// Sequence of faults that violates an invariant if one safeguard is off.
struct Scenario
{
    std::string name;
    std::string violation; ///< violation that occurs without the safeguard
    bool Safeguards::*safeguard;
    std::function<void(Simulation &)> run;
    std::vector<bool> checksFencing = {false, true, false, true};
};

/// A holder is paused before it sends a load. It resumes after another holder has taken over.
void resumeAfterTakeover(Simulation &simulation)
{
    simulation.run(TakeoverTime);
    simulation.pauseBefore(isLoad);
    simulation.run(TakeoverTime);
    simulation.resumeAll();
    simulation.run(TakeoverTime);
}

/// The same, but all engines restart before the paused holder resumes.
void resumeAfterEngineRestart(Simulation &simulation)
{
    simulation.run(TakeoverTime);
    simulation.pauseBefore(isLoad);
    simulation.run(TakeoverTime);
    simulation.restartEngines();
    simulation.run(std::chrono::seconds(8));
    simulation.resumeAll();
    simulation.run(TakeoverTime);
}

/// Loads of two holders reach engines that have just restarted.
void resumeTwoAfterEngineRestart(Simulation &simulation)
{
    simulation.run(TakeoverTime);
    simulation.pauseBefore(isLoad);
    simulation.run(TakeoverTime);
    simulation.pauseBefore(isLoad);
    simulation.run(std::chrono::seconds(2));
    simulation.restartEngines();
    simulation.resumeAll();
    simulation.run(TakeoverTime);
}

/// A second holder is paused before it repeats an inherited order of the first holder, which restarts and acknowledges the new term.
void resumeInheritingHolder(Simulation &simulation)
{
    simulation.run(TakeoverTime);
    simulation.pauseBefore(isLoad);
    simulation.run(std::chrono::seconds(4));
    simulation.pauseBefore(isLoad);
    simulation.run(std::chrono::seconds(16));
    for (std::size_t n = 0; n < 3; ++n) {
        if (simulation.isPaused(n)) {
            simulation.restartHolder(n);
            break;
        }
    }
    simulation.run(std::chrono::seconds(40));
    simulation.restartEngines();
    simulation.run(std::chrono::seconds(15));
    simulation.resumeAll();
    simulation.run(std::chrono::seconds(5));
}

/// The first holder sent its last order while the table was down, so the order has no row.
void resumeAfterTableOutage(Simulation &simulation)
{
    simulation.run(TakeoverTime);
    simulation.table().isDown = true;
    simulation.run(std::chrono::seconds(4));
    simulation.pauseBefore(isLoad);
    simulation.run(std::chrono::seconds(4));
    simulation.table().isDown = false;
    simulation.run(TakeoverTime);
    simulation.pauseBefore(isLoad);
    simulation.run(std::chrono::seconds(2));
    simulation.resumeAll();
    simulation.run(TakeoverTime);
}

/// A holder is paused before a write to the table and resumes after another holder has taken over.
void resumeBeforeWrite(Simulation &simulation)
{
    simulation.run(TakeoverTime);
    simulation.pauseBefore(isWrite);
    simulation.run(TakeoverTime);
    simulation.resumeAll();
    simulation.run(TakeoverTime);
}

/// Orders are delivered late or their answers are lost.
void loseAnswers(Simulation &simulation)
{
    for (int n = 0; n < 12; ++n) {
        simulation.addDeliveryFault(n % 2 == 0 ? DeliveryFault::Delayed : DeliveryFault::AnswerLost);
        simulation.run(std::chrono::seconds(5));
        simulation.deliverDelayed(0);
    }
}

/// A holder is paused before it sends a load, which may be a repetition. The engines restart, the load is delivered late, and an
/// inventory from before the restart arrives after the send.
void restartDuringInventory(Simulation &simulation)
{
    simulation.run(std::chrono::seconds(10));
    simulation.pauseBefore(isLoad);
    simulation.run(std::chrono::seconds(3));
    simulation.addDeliveryFault(DeliveryFault::Delayed);
    simulation.restartEngines();
    simulation.resumeAll();
    simulation.run(TakeoverTime);
    simulation.deliverDelayed(0);
}

/// Runs two minutes with random moves and no injected faults.
void runLong(Simulation &simulation)
{
    simulation.run(std::chrono::minutes(2));
}

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all = {
        {"recordsBeforeSending", "overcommitted", &Safeguards::recordsBeforeSending, resumeAfterTakeover},
        {"settlesInheritedOrders", "overcommitted", &Safeguards::settlesInheritedOrders, resumeAfterTakeover},
        {"writesUnderLease", "two holders", &Safeguards::writesUnderLease, resumeBeforeWrite},
        {"countsOpenLoads", "overcommitted", &Safeguards::countsOpenLoads, runLong},
        {"repeatsOpenOrders", "overcommitted", &Safeguards::repeatsOpenOrders, loseAnswers},
        {"reopensAfterRestart", "overcommitted", &Safeguards::reopensAfterRestart, resumeAfterEngineRestart},
        {"tracksEveryHolder", "overcommitted", &Safeguards::tracksEveryHolder, resumeInheritingHolder, {false, false, false}},
        {"reservesForRestart", "overcommitted", &Safeguards::reservesForRestart, resumeTwoAfterEngineRestart},
        {"sendsTermFirst", "overcommitted", &Safeguards::sendsTermFirst, resumeAfterTableOutage, {true, true}},
        {"discardsStaleInventories", "overcommitted", &Safeguards::discardsStaleInventories, runLong},
        {"settlesByLaterInventories", "overcommitted", &Safeguards::settlesByLaterInventories, restartDuringInventory},
        {"keepsLastReplica", "unreachable", &Safeguards::keepsLastReplica, runLong},
        {"stopsBeforeExpiry", "two holders", &Safeguards::stopsBeforeExpiry, resumeBeforeWrite},
    };
    return all;
}

std::string runScenario(const Scenario &scenario, const Safeguards &safeguards, std::uint32_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    options.safeguards = safeguards;
    options.randomMoveShare = 0.9;
    options.checksFencing = scenario.checksFencing;
    Simulation simulation(options);
    scenario.run(simulation);
    return simulation.violation();
}

} // namespace

TEST_CASE("without a safeguard its scenario violates an invariant")
{
    for (const auto &scenario : scenarios()) {
        CAPTURE(scenario.name);
        Safeguards safeguards;
        safeguards.*scenario.safeguard = false;
        bool isViolated = false;
        std::uint32_t seed = 0;
        while (!isViolated && seed < MaxSeeds) {
            isViolated = runScenario(scenario, safeguards, ++seed).starts_with(scenario.violation);
        }
        CHECK(isViolated);
    }
}

TEST_CASE("with all safeguards no scenario violates an invariant")
{
    for (const auto &scenario : scenarios()) {
        for (std::uint32_t seed = 1; seed <= SeedsWithSafeguards; ++seed) {
            CAPTURE(scenario.name);
            CAPTURE(seed);
            CHECK(runScenario(scenario, Safeguards(), seed).empty());
        }
    }
}

TEST_CASE("without faults one holder keeps all models loaded")
{
    SimulationOptions options;
    options.randomMoveShare = 0;
    Simulation simulation(options);
    simulation.run(std::chrono::seconds(60));
    CHECK(simulation.reachableModelCount() == 5);
    CHECK(simulation.holderCount() == 1);
}
