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

/// Maximum of the total share over some time.
double maxTotalShare(SimulatedCell &cell, int seconds)
{
    double maxTotal = 0;
    for (int n = 0; n < seconds * StepsPerSecond; ++n) {
        cell.step();
        maxTotal = std::max(maxTotal, cell.totalShare());
    }
    return maxTotal;
}

void demandOnlyOn(SimulatedCell &cell, std::size_t daemon)
{
    for (std::size_t n = 0; n < DaemonCount; ++n) {
        cell.node(n).demand = n == daemon ? Limit : 0;
    }
}

} // namespace

TEST_CASE("a daemon with all the demand gets nine tenths of the limit, and the share follows the demand")
{
    SimulatedCell cell(7);
    CHECK(maxTotalShare(cell, 5) <= Limit);
    for (const std::size_t daemon : {0, 3, 4, 1}) {
        demandOnlyOn(cell, daemon);
        CHECK(maxTotalShare(cell, 10) <= Limit);
        CHECK(cell.node(daemon).limit->share(cell.now()) >= 0.9 * Limit);
    }
}

TEST_CASE("the limit is shared evenly if all daemons have demand")
{
    SimulatedCell cell(8);
    for (std::size_t n = 0; n < DaemonCount; ++n) {
        cell.node(n).demand = Limit;
    }
    CHECK(maxTotalShare(cell, 20) <= Limit);
    for (std::size_t n = 0; n < DaemonCount; ++n) {
        CHECK(cell.node(n).limit->share(cell.now()) == doctest::Approx(Limit / DaemonCount).epsilon(0.05));
    }
}

TEST_CASE("using a reservation before all daemons have acknowledged it exceeds the limit")
{
    for (const bool isBroken : {false, true}) {
        CellRules rules;
        if (isBroken) {
            rules.limits.mayUse = [](std::size_t, std::size_t) {
                return true;
            };
        }
        SimulatedCell cell(9, rules);
        demandOnlyOn(cell, 2);
        double maxTotal = maxTotalShare(cell, 15);
        CHECK(cell.node(2).limit->share(cell.now()) >= 0.9 * Limit);
        // Restarts daemon 1 without a link from daemon 2, so that it does not know of the share of daemon 2.
        cell.setLink(2, 1, false);
        cell.start(1);
        cell.node(1).demand = Limit;
        maxTotal = std::max(maxTotal, maxTotalShare(cell, 15));
        CHECK((maxTotal > Limit) == isBroken);
    }
}

TEST_CASE("keeping a share while the majority does not hear the daemon exceeds the limit")
{
    for (const bool isBroken : {false, true}) {
        CellRules rules;
        if (isBroken) {
            rules.limits.isLeaseValid = [](std::size_t, std::size_t) {
                return true;
            };
        }
        SimulatedCell cell(10, rules);
        maxTotalShare(cell, 5);
        demandOnlyOn(cell, 0);
        maxTotalShare(cell, 10);
        cell.node(0).isPaused = true;
        cell.node(1).demand = Limit;
        maxTotalShare(cell, 20);
        CHECK(cell.node(1).limit->share(cell.now()) >= 0.9 * Limit);
        cell.node(0).isPaused = false;
        CHECK((maxTotalShare(cell, 5) > Limit) == isBroken);
    }
}

TEST_CASE("lowering the limit reduces the share at once")
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
