#include "turmericplank/membership/endpointview.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::membership;

namespace {

const base::EndpointId engine{"e-1"};
const std::vector<base::DaemonId> others = {base::DaemonId("b"), base::DaemonId("c"), base::DaemonId("d")};

base::Time at(std::int64_t milliseconds)
{
    return base::timeFromMilliseconds(1'000'000 + milliseconds);
}

struct Fixture
{
    EndpointView view;

    explicit Fixture(const EndpointRules &rules = {})
        : view({2, std::chrono::milliseconds(2500), std::chrono::seconds(10), rules})
    {
        view.setEndpoints({engine}, at(0));
        view.noteAnswer(engine, base::Incarnation(1), false, at(0));
    }

    void report(std::size_t daemon, bool isSuspect, std::vector<LeavingMark> leaving = {})
    {
        Heartbeat it;
        it.from = others[daemon];
        if (isSuspect) {
            it.suspects = {{shortName(engine.text()), true}};
        }
        it.leaving = std::move(leaving);
        view.noteHeartbeat(it);
    }

    LiveState state(std::int64_t now) const
    {
        return view.state(engine, others, at(now));
    }
};

} // namespace

TEST_CASE("one daemon's false suspicion has no effect, that of a majority makes the endpoint suspect")
{
    for (const bool isBroken : {false, true}) {
        EndpointRules rules;
        if (isBroken) {
            rules.hasQuorum = [](std::size_t suspecting, std::size_t) {
                return suspecting >= 1;
            };
        }
        Fixture fixture(rules);
        fixture.report(0, true);
        fixture.report(1, false);
        fixture.report(2, false);
        CHECK((fixture.state(4000) == (isBroken ? LiveState::Suspect : LiveState::Live)));
        fixture.report(1, true);
        CHECK((fixture.state(4000) == LiveState::Suspect));
        fixture.view.noteAnswer(engine, base::Incarnation(1), false, at(4000));
        CHECK((fixture.state(4100) == LiveState::Live));
    }
}

TEST_CASE("own failures make an endpoint suspect, and only a majority and a long silence make it gone")
{
    Fixture fixture;
    fixture.view.noteFailure(engine, at(1000));
    CHECK((fixture.state(1000) == LiveState::Live));
    fixture.view.noteFailure(engine, at(2000));
    CHECK((fixture.state(2000) == LiveState::Suspect));
    fixture.report(0, false);
    fixture.report(1, false);
    CHECK((fixture.state(20000) == LiveState::Suspect));
    fixture.report(0, true);
    CHECK((fixture.state(20000) == LiveState::Gone));
    fixture.view.noteAnswer(engine, base::Incarnation(1), false, at(21000));
    CHECK((fixture.state(21000) == LiveState::Live));
}

TEST_CASE("the platform's list does not override a failure of the endpoint")
{
    for (const bool isBroken : {false, true}) {
        EndpointRules rules;
        if (isBroken) {
            rules.doesListOverride = [](base::Time, base::Time) {
                return true;
            };
        }
        Fixture fixture(rules);
        fixture.view.noteFailure(engine, at(1000));
        fixture.view.noteFailure(engine, at(2000));
        fixture.view.noteList({{engine.text(), false}}, at(3000));
        CHECK((fixture.state(3000) == (isBroken ? LiveState::Live : LiveState::Suspect)));
    }
}

TEST_CASE("one leaving mark is enough for an endpoint and applies only to its incarnation")
{
    for (const bool isBroken : {false, true}) {
        EndpointRules rules;
        if (isBroken) {
            rules.appliesTo = [](base::Incarnation, base::Incarnation) {
                return true;
            };
        }
        Fixture fixture(rules);
        fixture.report(0, false, {{shortName(engine.text()), base::Incarnation(1)}});
        fixture.view.noteList({{engine.text(), true}}, at(500));
        CHECK((fixture.state(1000) == LiveState::Leaving));
        fixture.view.noteAnswer(engine, base::Incarnation(2), false, at(1500));
        CHECK((fixture.state(1500) == (isBroken ? LiveState::Leaving : LiveState::Live)));
        fixture.view.noteAnswer(engine, base::Incarnation(1), true, at(1600));
        CHECK((fixture.state(1600) == (isBroken ? LiveState::Leaving : LiveState::Live)));
        fixture.view.noteAnswer(engine, base::Incarnation(2), true, at(1700));
        CHECK((fixture.state(1700) == LiveState::Leaving));
    }
}

TEST_CASE("a single leaving mark in the platform's list is enough")
{
    EndpointRules rules;
    rules.isMarkEnough = [](int sources) {
        return sources >= 2;
    };
    Fixture broken(rules);
    Fixture fixture;
    for (auto *it : {&broken, &fixture}) {
        it->view.noteList({{engine.text(), true}}, at(100));
    }
    CHECK((fixture.state(200) == LiveState::Leaving));
    CHECK((broken.state(200) == LiveState::Live));
}
