#include "turmericplank/routing/sharedlimit.hpp"

#include <algorithm>

#include <doctest/doctest.h>

#include "turmericplank/membership/simulatedcell.hpp"

using namespace turmericplank;
using namespace turmericplank::routing;
using membership::testing::CellRules;
using membership::testing::DaemonCount;
using membership::testing::Limit;
using membership::testing::SimulatedCell;

namespace {

constexpr int StepsPerSecond = 4;

/// Highest sum of all shares over some time.
double highest(SimulatedCell &cell, int seconds)
{
    double most = 0;
    for (int n = 0; n < seconds * StepsPerSecond; ++n) {
        cell.step();
        most = std::max(most, cell.totalShare());
    }
    return most;
}

void demandOnly(SimulatedCell &cell, std::size_t daemon)
{
    for (std::size_t n = 0; n < DaemonCount; ++n) {
        cell.node(n).demand = n == daemon ? Limit : 0;
    }
}

} // namespace

TEST_CASE("nine tenths of the limit can be used where all demand is on one daemon, and it moves with the demand")
{
    SimulatedCell cell(7);
    CHECK(highest(cell, 5) <= Limit);
    for (const std::size_t daemon : {0, 3, 4, 1}) {
        demandOnly(cell, daemon);
        CHECK(highest(cell, 10) <= Limit);
        CHECK(cell.node(daemon).limit->share(cell.now()) >= 0.9 * Limit);
    }
}

TEST_CASE("demand on all daemons is shared evenly")
{
    SimulatedCell cell(8);
    for (std::size_t n = 0; n < DaemonCount; ++n) {
        cell.node(n).demand = Limit;
    }
    CHECK(highest(cell, 20) <= Limit);
    for (std::size_t n = 0; n < DaemonCount; ++n) {
        CHECK(cell.node(n).limit->share(cell.now()) == doctest::Approx(Limit / DaemonCount).epsilon(0.05));
    }
}

TEST_CASE("a reservation that is used before all have acknowledged it breaks the limit")
{
    for (const bool isBroken : {false, true}) {
        CellRules rules;
        if (isBroken) {
            rules.limits.mayUse = [](std::size_t, std::size_t) {
                return true;
            };
        }
        SimulatedCell cell(9, rules);
        demandOnly(cell, 2);
        double most = highest(cell, 15);
        CHECK(cell.node(2).limit->share(cell.now()) >= 0.9 * Limit);
        // A new process in place of daemon 1 that never hears daemon 2 knows nothing of the share that daemon 2 has.
        cell.setLink(2, 1, false);
        cell.start(1);
        cell.node(1).demand = Limit;
        most = std::max(most, highest(cell, 15));
        CHECK((most > Limit) == isBroken);
    }
}

TEST_CASE("a share that outlives the majority's hearing breaks the limit")
{
    for (const bool isBroken : {false, true}) {
        CellRules rules;
        if (isBroken) {
            rules.limits.isHeld = [](std::size_t, std::size_t) {
                return true;
            };
        }
        SimulatedCell cell(10, rules);
        highest(cell, 5);
        demandOnly(cell, 0);
        highest(cell, 10);
        cell.node(0).isPaused = true;
        cell.node(1).demand = Limit;
        highest(cell, 20);
        CHECK(cell.node(1).limit->share(cell.now()) >= 0.9 * Limit);
        cell.node(0).isPaused = false;
        CHECK((highest(cell, 5) > Limit) == isBroken);
    }
}

TEST_CASE("a limit that is lowered shrinks the share at once")
{
    SharedLimit limit(base::DaemonId("a"), {100});
    limit.setOthers({}, 1);
    limit.update(100, 0, base::Time());
    limit.claim(1, base::Time());
    limit.update(100, 0, base::Time());
    CHECK(limit.share(base::Time()) == doctest::Approx(100));
    limit.setLimit(50);
    CHECK(limit.share(base::Time()) == doctest::Approx(50));
}
