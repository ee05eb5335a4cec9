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

struct Watch
{
    EndpointView view;

    explicit Watch(const EndpointRules &rules = {})
        : view({2, std::chrono::milliseconds(2500), std::chrono::seconds(10), rules})
    {
        view.setEndpoints({engine}, at(0));
        view.noteAnswer(engine, base::Incarnation(1), false, at(0));
    }

    void say(std::size_t daemon, bool isSuspect, std::vector<LeavingMark> leaving = {})
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

TEST_CASE("one daemon's false suspicion does not take out an endpoint, the majority's does")
{
    for (const bool isBroken : {false, true}) {
        EndpointRules rules;
        if (isBroken) {
            rules.isAgreed = [](std::size_t suspecting, std::size_t) {
                return suspecting >= 1;
            };
        }
        Watch watch(rules);
        watch.say(0, true);
        watch.say(1, false);
        watch.say(2, false);
        CHECK((watch.state(4000) == (isBroken ? LiveState::Suspect : LiveState::Live)));
        watch.say(1, true);
        CHECK((watch.state(4000) == LiveState::Suspect));
        watch.view.noteAnswer(engine, base::Incarnation(1), false, at(4000));
        CHECK((watch.state(4100) == LiveState::Live));
    }
}

TEST_CASE("own failures suspect an endpoint, and only an agreed long silence removes it")
{
    Watch watch;
    watch.view.noteFailure(engine, at(1000));
    CHECK((watch.state(1000) == LiveState::Live));
    watch.view.noteFailure(engine, at(2000));
    CHECK((watch.state(2000) == LiveState::Suspect));
    watch.say(0, false);
    watch.say(1, false);
    CHECK((watch.state(20000) == LiveState::Suspect));
    watch.say(0, true);
    CHECK((watch.state(20000) == LiveState::Gone));
    watch.view.noteAnswer(engine, base::Incarnation(1), false, at(21000));
    CHECK((watch.state(21000) == LiveState::Live));
}

TEST_CASE("the list does not overrule a failure of the endpoint")
{
    for (const bool isBroken : {false, true}) {
        EndpointRules rules;
        if (isBroken) {
            rules.doesListOverrule = [](base::Time, base::Time) {
                return true;
            };
        }
        Watch watch(rules);
        watch.view.noteFailure(engine, at(1000));
        watch.view.noteFailure(engine, at(2000));
        watch.view.noteList({{engine.text(), false}}, at(3000));
        CHECK((watch.state(3000) == (isBroken ? LiveState::Live : LiveState::Suspect)));
    }
}

TEST_CASE("one leaving mark is enough for an endpoint, and ends with its incarnation")
{
    for (const bool isBroken : {false, true}) {
        EndpointRules rules;
        if (isBroken) {
            rules.appliesTo = [](base::Incarnation, base::Incarnation) {
                return true;
            };
        }
        Watch watch(rules);
        watch.say(0, false, {{shortName(engine.text()), base::Incarnation(1)}});
        watch.view.noteList({{engine.text(), true}}, at(500));
        CHECK((watch.state(1000) == LiveState::Leaving));
        watch.view.noteAnswer(engine, base::Incarnation(2), false, at(1500));
        CHECK((watch.state(1500) == (isBroken ? LiveState::Leaving : LiveState::Live)));
        watch.view.noteAnswer(engine, base::Incarnation(1), true, at(1600));
        CHECK((watch.state(1600) == (isBroken ? LiveState::Leaving : LiveState::Live)));
        watch.view.noteAnswer(engine, base::Incarnation(2), true, at(1700));
        CHECK((watch.state(1700) == LiveState::Leaving));
    }
}

TEST_CASE("a single mark of any source needs no second")
{
    EndpointRules rules;
    rules.isMarkEnough = [](int sources) {
        return sources >= 2;
    };
    Watch broken(rules);
    Watch watch;
    for (auto *it : {&broken, &watch}) {
        it->view.noteList({{engine.text(), true}}, at(100));
    }
    CHECK((watch.state(200) == LiveState::Leaving));
    CHECK((broken.state(200) == LiveState::Live));
}
