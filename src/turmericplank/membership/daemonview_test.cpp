#include "turmericplank/membership/daemonview.hpp"

#include <algorithm>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::membership;

namespace {

base::Time at(std::int64_t milliseconds)
{
    return base::timeFromMilliseconds(1'000'000 + milliseconds);
}

DaemonRecord record(const std::string &name)
{
    return {base::DaemonId(name), base::ZoneName("r/a"), {"127.0.0.1", 1}, {"127.0.0.1", 2}};
}

const std::vector<DaemonRecord> fourRecords = {record("a"), record("b"), record("c"), record("d")};

/// Drives the view of daemon a; the others send heartbeats every half second unless they are silenced.
struct Cell
{
    DaemonView view;
    std::map<std::string, std::uint64_t> incarnations = {{"b", 1}, {"c", 1}, {"d", 1}};
    std::vector<std::string> silent;
    std::vector<HeardAge> heardAges = {{shortName("a"), 100}};
    std::uint64_t sequence = 0;

    explicit Cell(const DaemonRules &rules = {})
        : view(fourRecords.front(), base::Incarnation(1), {{}, rules})
    {
        view.noteRecords(fourRecords, at(0));
    }

    Heartbeat heartbeatFrom(const std::string &name)
    {
        Heartbeat it;
        it.from = base::DaemonId(name);
        it.incarnation = base::Incarnation(incarnations.at(name));
        it.sequence = ++sequence;
        it.heard = heardAges;
        return it;
    }

    void run(std::int64_t from, std::int64_t to)
    {
        for (auto now = from; now < to; now += 500) {
            view.tick(at(now));
            for (const auto &[name, incarnation] : incarnations) {
                if (std::ranges::find(silent, name) == silent.end()) {
                    view.noteHeartbeat(heartbeatFrom(name), at(now));
                }
            }
        }
    }

    LiveState state(const std::string &name, std::int64_t now) const
    {
        return view.state(base::DaemonId(name), at(now));
    }
};

} // namespace

TEST_CASE("a silent daemon becomes suspect, then gone, and live again when it is heard")
{
    Cell cell;
    cell.run(0, 2000);
    cell.silent = {"b"};
    cell.run(2000, 5000);
    CHECK((cell.state("b", 5000) == LiveState::Suspect));
    cell.run(5000, 13000);
    CHECK((cell.state("b", 13000) == LiveState::Gone));
    cell.silent.clear();
    cell.run(13000, 13500);
    CHECK((cell.state("b", 13500) == LiveState::Live));
}

TEST_CASE("a daemon that only this one does not hear stays live but is unreachable")
{
    Cell cell;
    cell.run(0, 2000);
    cell.silent = {"b"};
    cell.heardAges.push_back({shortName("b"), 200});
    cell.run(2000, 20000);
    CHECK((cell.state("b", 20000) == LiveState::Live));
    const auto members = cell.view.members(at(20000));
    CHECK_FALSE(members[1].isReachable);
    CHECK(members[2].isReachable);
}

TEST_CASE("a daemon that hears no other daemon is suspect even if all hear it")
{
    Cell cell;
    cell.heardAges = {{shortName("a"), 6000}};
    cell.run(0, 2000);
    CHECK((cell.state("b", 2000) == LiveState::Live));
    cell.run(2000, 5000);
    CHECK((cell.state("b", 5000) == LiveState::Suspect));
}

TEST_CASE("a daemon that is cut off from the majority declares no others gone")
{
    for (const bool isBroken : {false, true}) {
        DaemonRules rules;
        if (isBroken) {
            rules.mayDeclareGone = [](bool) {
                return true;
            };
        }
        Cell cell(rules);
        cell.run(0, 2000);
        cell.silent = {"b", "c", "d"};
        cell.run(2000, 20000);
        CHECK((cell.state("b", 20000) == (isBroken ? LiveState::Gone : LiveState::Suspect)));
    }
}

TEST_CASE("the platform's list does not override the silence of a daemon")
{
    for (const bool isBroken : {false, true}) {
        DaemonRules rules;
        if (isBroken) {
            rules.doesListOverride = [](base::Time, base::Time) {
                return true;
            };
        }
        Cell cell(rules);
        cell.run(0, 2000);
        cell.silent = {"b"};
        cell.run(2000, 6000);
        cell.view.noteList({{"a"}, {"b"}, {"c"}, {"d"}}, at(6000));
        CHECK((cell.state("b", 6000) == (isBroken ? LiveState::Live : LiveState::Suspect)));
    }
}

TEST_CASE("one leaving mark is enough, whatever its source")
{
    for (const bool isBroken : {false, true}) {
        DaemonRules rules;
        if (isBroken) {
            rules.isMarkEnough = [](int sources) {
                return sources >= 2;
            };
        }
        const auto expected = isBroken ? LiveState::Live : LiveState::Leaving;
        Cell byItself(rules);
        auto own = byItself.heartbeatFrom("b");
        own.isLeaving = true;
        byItself.view.noteHeartbeat(own, at(0));
        CHECK((byItself.state("b", 1) == expected));
        Cell byPeer(rules);
        byPeer.run(0, 500);
        auto other = byPeer.heartbeatFrom("c");
        other.leaving = {{shortName("b"), base::Incarnation(1)}};
        byPeer.view.noteHeartbeat(other, at(600));
        CHECK((byPeer.state("b", 601) == expected));
        Cell byList(rules);
        byList.run(0, 500);
        byList.view.noteList({{"b", true}}, at(600));
        CHECK((byList.state("b", 601) == expected));
    }
}

TEST_CASE("leaving marks and delayed heartbeats of a replaced VM do not affect its successor")
{
    for (const bool isBroken : {false, true}) {
        DaemonRules rules;
        if (isBroken) {
            rules.isNewer = [](base::Incarnation, base::Incarnation) {
                return true;
            };
        }
        Cell cell(rules);
        cell.run(0, 1000);
        auto late = cell.heartbeatFrom("b");
        late.isLeaving = true;
        cell.view.noteHeartbeat(late, at(1000));
        cell.view.noteList({{"b", true}}, at(1100));
        CHECK((cell.state("b", 1101) == LiveState::Leaving));
        cell.incarnations["b"] = 2;
        cell.run(1200, 1300);
        CHECK((cell.state("b", 1300) == LiveState::Live));
        late.sequence += 1000;
        CHECK(cell.view.noteHeartbeat(late, at(1400)) == isBroken);
        CHECK((cell.state("b", 1401) == (isBroken ? LiveState::Leaving : LiveState::Live)));
    }
}

TEST_CASE("a successor whose clock is behind is accepted once its predecessor has been silent for long")
{
    Cell cell;
    cell.incarnations["b"] = 9;
    cell.run(0, 1000);
    cell.incarnations["b"] = 3;
    CHECK_FALSE(cell.view.noteHeartbeat(cell.heartbeatFrom("b"), at(1000)));
    cell.silent = {"b"};
    cell.run(1000, 12000);
    CHECK(cell.view.noteHeartbeat(cell.heartbeatFrom("b"), at(12000)));
}

TEST_CASE("after a pause of this process no daemon becomes suspect and no heard ages are sent")
{
    Cell cell;
    cell.run(0, 2000);
    cell.view.tick(at(30000));
    CHECK((cell.state("b", 30000) == LiveState::Live));
    CHECK(cell.view.heartbeat(at(30000)).heard.empty());
    cell.silent = {"b"};
    cell.run(30500, 34000);
    CHECK((cell.state("b", 34000) == LiveState::Suspect));
}

TEST_CASE("a leaving mark that was listed before the start refers to the predecessor")
{
    Cell cell;
    cell.view.noteList({{"a", true}}, at(100));
    CHECK((cell.state("a", 100) == LiveState::Live));
    cell.view.noteList({{"a", false}}, at(200));
    cell.view.noteList({{"a", true}}, at(300));
    CHECK((cell.state("a", 300) == LiveState::Leaving));
}

TEST_CASE("without pause detection a resumed process suspects all others")
{
    for (const bool isBroken : {false, true}) {
        DaemonViewOptions options;
        if (isBroken) {
            options.detector.pauseAfter = std::chrono::hours(1);
        }
        DaemonView view(fourRecords.front(), base::Incarnation(1), options);
        view.noteRecords(fourRecords, at(0));
        Heartbeat heartbeat;
        heartbeat.from = base::DaemonId("b");
        heartbeat.incarnation = base::Incarnation(1);
        heartbeat.sequence = 1;
        heartbeat.heard = {{shortName("a"), 0}};
        CHECK((view.state(heartbeat.from, at(0)) == LiveState::Suspect));
        view.noteHeartbeat(heartbeat, at(0));
        view.tick(at(0));
        view.tick(at(9000));
        CHECK((view.state(base::DaemonId("b"), at(9000)) == (isBroken ? LiveState::Suspect : LiveState::Live)));
    }
}
