#include "testfleet.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto DrainTime = 2s;
constexpr auto StartTime = 4500ms; ///< until all daemons know each other and the endpoints
constexpr auto MaxChangeTime = 10s; ///< far more than any path of a change takes
const std::set<std::string> allOfFour{"0", "1", "2", "3"};

/// Puts a configuration with another route, and runs until all daemons serve that route.
/// @return daemons that never did
std::vector<std::size_t> changeRoute(TestFleet &fleet, std::uint64_t revision)
{
    const auto prefix = "/r" + std::to_string(revision) + '/';
    fleet.store.put(TestFleet::makeConfiguration(revision, prefix));
    std::vector<std::size_t> behind;
    const auto end = base::now() + MaxChangeTime;
    do {
        std::vector<std::shared_ptr<TestFleet::Result>> results;
        for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
            results.push_back(fleet.call(n, {}, "sound", prefix + "x"));
        }
        fleet.runFor(100ms);
        behind.clear();
        for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
            if (results[n]->status != 200) {
                behind.push_back(n);
            }
        }
    } while (!behind.empty() && base::now() < end);
    return behind;
}

/// Puts configurations at several moments of the waits for them, and checks that daemons have each one in time.
void checkChangesInTime(TestFleet &fleet, const std::vector<std::size_t> &daemons)
{
    constexpr auto InForceTime = 2s; ///< from the acknowledgement of a change until it must be in force
    constexpr std::uint64_t Changes = 6;
    for (std::uint64_t revision = 2; revision < 2 + Changes; ++revision) {
        const auto prefix = "/r" + std::to_string(revision) + '/';
        fleet.store.put(TestFleet::makeConfiguration(revision, prefix));
        fleet.runFor(InForceTime);
        std::vector<std::shared_ptr<TestFleet::Result>> results;
        for (const auto n : daemons) {
            results.push_back(fleet.call(n, {}, "sound", prefix + "x"));
        }
        fleet.runFor(300ms);
        for (const auto &it : results) {
            CHECK(it->status == 200);
        }
    }
}

} // namespace

TEST_CASE("a change takes effect at all daemons although the wait for it of the one that reads the store for the others is silent")
{
    TestFleet fleet(
        4, 2, [](std::size_t, std::size_t) { return true; }, DrainTime);
    fleet.runFor(StartTime);
    CHECK(changeRoute(fleet, 2).empty());
    fleet.store.silencedWaits = {"0"};
    CHECK(changeRoute(fleet, 3).empty());
}

TEST_CASE("a change takes effect at all daemons although the waits for it of two of them fell silent")
{
    TestFleet fleet(
        4, 2, [](std::size_t, std::size_t) { return true; }, DrainTime);
    fleet.runFor(StartTime);
    fleet.store.silencedWaits = {"0", "1"};
    fleet.runFor(100ms);
    fleet.store.silencedWaits.clear();
    CHECK(changeRoute(fleet, 2).empty());
}

TEST_CASE("a change takes effect at daemons that are in contact through others only, and one of which restarts meanwhile")
{
    TestFleet fleet(
        5, 2, [](std::size_t a, std::size_t b) { return a + 1 == b || b + 1 == a; }, DrainTime);
    fleet.runFor(StartTime);
    fleet.store.silencedWaits = {"0", "2"};
    fleet.stopDaemon(3);
    fleet.startDaemon(3);
    CHECK(changeRoute(fleet, 2).empty());
}

TEST_CASE("changes are in force in time at all daemons although the store answers both daemons that wait for them late")
{
    TestFleet fleet(
        4, 2, [](std::size_t, std::size_t) { return true; }, DrainTime);
    fleet.runFor(StartTime);
    fleet.store.answerDelays = {{"0", 1100ms}, {"1", 1100ms}};
    fleet.runFor(3s);
    checkChangesInTime(fleet, {0, 1, 2, 3});
}

TEST_CASE("changes are in force in time at the other daemons although both daemons that wait for them run slowly")
{
    TestFleet fleet(
        4, 2, [](std::size_t, std::size_t) { return true; }, DrainTime);
    fleet.runFor(StartTime);
    fleet.slowDown(0, 700ms);
    fleet.slowDown(1, 700ms);
    fleet.runFor(3s);
    checkChangesInTime(fleet, {2, 3});
}

TEST_CASE("changes are in force in time although the daemons that wait for them are turned away for the configuration, but not for the endpoints")
{
    TestFleet fleet(
        4, 2, [](std::size_t, std::size_t) { return true; }, DrainTime);
    fleet.runFor(StartTime);
    fleet.store.hiddenConfigurationFor = {"0", "1"};
    checkChangesInTime(fleet, {0, 1, 2, 3});
}

TEST_CASE("changes are in force in time although no wait brings one, but each read does")
{
    TestFleet fleet(
        4, 2, [](std::size_t, std::size_t) { return true; }, DrainTime);
    fleet.runFor(StartTime);
    fleet.store.silencedWaits = allOfFour;
    checkChangesInTime(fleet, {0, 1, 2, 3});
}

TEST_CASE("an outage of the store does not delay a later change at daemons whose position in the history is gone")
{
    TestFleet fleet(
        4, 2, [](std::size_t, std::size_t) { return true; }, DrainTime);
    fleet.runFor(StartTime);
    fleet.store.hiddenConfigurationFor = allOfFour;
    fleet.store.hiddenRowsFor = allOfFour;
    fleet.runFor(7s);
    fleet.store.hiddenConfigurationFor.clear();
    fleet.store.hiddenRowsFor.clear();
    fleet.runFor(4s);
    CHECK(changeRoute(fleet, 2).empty());
    fleet.store.firstKeptPosition = 2;
    fleet.store.hiddenConfigurationFor = {"0", "1"};
    fleet.store.hiddenRowsFor = {"0", "1"};
    fleet.store.put(TestFleet::makeConfiguration(3, "/r3/"));
    fleet.runFor(2s);
    std::vector<std::shared_ptr<TestFleet::Result>> results;
    for (const std::size_t n : {2, 3}) {
        results.push_back(fleet.call(n, {}, "sound", "/r3/x"));
    }
    fleet.runFor(300ms);
    for (const auto &it : results) {
        CHECK(it->status == 200);
    }
}

TEST_CASE("a daemon whose configuration may be out of date does not tell callers that a route is unknown")
{
    const std::string unknownRoute(toString(RejectionReason::NoRoute)); // callers do not try again after it
    TestFleet fleet(
        4, 2, [](std::size_t, std::size_t) { return true; }, DrainTime);
    fleet.runFor(StartTime);
    const auto unknown = fleet.call(2, {}, "sound", "/r2/x");
    fleet.runFor(500ms);
    CHECK(unknown->body == unknownRoute);
    fleet.store.hiddenConfigurationFor = allOfFour;
    fleet.runFor(3s);
    fleet.store.put(TestFleet::makeConfiguration(2, "/r2/"));
    std::vector<std::shared_ptr<TestFleet::Result>> results;
    for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
        results.push_back(fleet.call(n, {}, "sound", "/r2/x"));
    }
    fleet.runFor(500ms);
    for (const auto &it : results) {
        CHECK(it->status == 503);
        CHECK(it->body != unknownRoute);
    }
}

TEST_CASE("the first call on an added route is answered by a daemon that missed the change, once the store answers it")
{
    TestFleet fleet(
        4, 2, [](std::size_t, std::size_t) { return true; }, DrainTime);
    fleet.runFor(StartTime);
    fleet.store.hiddenConfigurationFor = allOfFour;
    fleet.runFor(3s);
    fleet.store.put(TestFleet::makeConfiguration(2, "/r2/"));
    fleet.runFor(500ms);
    fleet.store.hiddenConfigurationFor.clear();
    std::vector<std::shared_ptr<TestFleet::Result>> results;
    for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
        results.push_back(fleet.call(n, {}, "sound", "/r2/x"));
    }
    fleet.runFor(1s);
    for (const auto &it : results) {
        CHECK(it->status == 200);
    }
}
