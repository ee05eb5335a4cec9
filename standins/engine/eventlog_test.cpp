#include "engine/eventlog.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::standins::engine;
using namespace std::chrono_literals;

TEST_CASE("events are published after the lag, and a dropped event leaves a gap in the sequence")
{
    const auto start = base::timeFromMilliseconds(0);
    EventLog log(500ms, 2, 1);
    log.record({"a", true}, start, 0);
    log.record({"b", true}, start, 1);
    log.record({"c", true}, start + 100ms, 0);
    CHECK(log.visible(0, start + 499ms).empty());
    CHECK(log.visible(0, start + 500ms).size() == 1);
    const auto events = log.visible(0, start + 600ms);
    REQUIRE(events.size() == 2);
    CHECK(events[1].sequence == events[0].sequence + 2);
    CHECK(log.visible(events[0].sequence + 1, start + 600ms).size() == 1);
    log.record({"d", true}, start, 0);
    CHECK(log.visible(0, start + 600ms).front().change.prefix == "c");
}
