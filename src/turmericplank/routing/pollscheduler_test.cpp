#include "turmericplank/routing/pollscheduler.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::routing;
using namespace std::chrono_literals;

namespace {

const base::EndpointId engine("e-1");
const auto begin = base::timeFromMilliseconds(1'000'000);

LoadReport reportAt(base::Time takenAt)
{
    LoadReport report;
    report.incarnation = base::Incarnation(7);
    report.takenAt = takenAt;
    report.running = 3;
    report.resident = {{base::ModelName("m"), "1"}};
    return report;
}

PollScheduler schedulerWith(base::Time polledAt)
{
    PollScheduler scheduler;
    scheduler.setEndpoints({{engine, false}});
    scheduler.takeDueLoads(polledAt, [](const auto &) { return PollDuty::Other; });
    scheduler.noteReport(engine, reportAt(polledAt - 200ms), polledAt);
    return scheduler;
}

std::size_t due(PollScheduler &scheduler, PollDuty duty, base::Time now)
{
    return scheduler.takeDueLoads(now, [duty](const auto &) { return duty; }).size();
}

} // namespace

TEST_CASE("an endpoint without a report is polled at once, with one poll at a time")
{
    PollScheduler scheduler;
    scheduler.setEndpoints({{engine, false}});
    CHECK(due(scheduler, PollDuty::Other, begin) == 1);
    CHECK(due(scheduler, PollDuty::Other, begin + 10s) == 0);
}

TEST_CASE("the primary polls each second, other daemons only while reports are missing")
{
    auto scheduler = schedulerWith(begin);
    CHECK(due(scheduler, PollDuty::Primary, begin + 999ms) == 0);
    CHECK(due(scheduler, PollDuty::Backup, begin + 2499ms) == 0);
    CHECK(due(scheduler, PollDuty::Other, begin + 5999ms) == 0);
    CHECK(due(scheduler, PollDuty::Other, begin + 6s) == 1);
    scheduler = schedulerWith(begin);
    CHECK(due(scheduler, PollDuty::Backup, begin + 2500ms) == 1);
    scheduler = schedulerWith(begin);
    CHECK(due(scheduler, PollDuty::Primary, begin + 1s) == 1);
}

TEST_CASE("a digest replaces a poll if its content hash is known")
{
    auto sender = schedulerWith(begin + 2s);
    const auto digests = sender.ownDigests(begin + 2100ms);
    REQUIRE(digests.size() == 1);
    CHECK(digests.front().age == 300ms);

    auto scheduler = schedulerWith(begin);
    const auto report = scheduler.noteDigest(digests.front(), begin + 2100ms);
    REQUIRE(report);
    CHECK(report->takenAt == begin + 1800ms);
    CHECK(report->resident == reportAt(begin).resident);
    CHECK(due(scheduler, PollDuty::Backup, begin + 4s) == 0);
    CHECK(scheduler.ownDigests(begin + 2100ms).empty());
}

TEST_CASE("a digest with a different content hash causes a poll at once")
{
    auto scheduler = schedulerWith(begin);
    CHECK_FALSE(scheduler.noteDigest({engine, 100ms, 1, 0, 12345}, begin + 500ms));
    CHECK(due(scheduler, PollDuty::Other, begin + 500ms) == 1);
}

TEST_CASE("a delayed digest does not replace a newer report")
{
    auto scheduler = schedulerWith(begin);
    CHECK_FALSE(scheduler.noteDigest({engine, 5s, 9, 9, contentHashOf(reportAt(begin))}, begin + 100ms));
}

TEST_CASE("a suspected endpoint is polled again unless it was polled just before")
{
    auto scheduler = schedulerWith(begin);
    scheduler.pollSoon(engine, begin + 500ms);
    CHECK(due(scheduler, PollDuty::Other, begin + 500ms) == 0);
    scheduler.pollSoon(engine, begin + 1s);
    CHECK(due(scheduler, PollDuty::Other, begin + 1s) == 1);
    scheduler.noteFailure(engine, begin + 1s);
    CHECK(due(scheduler, PollDuty::Other, begin + 1500ms) == 0);
    CHECK(due(scheduler, PollDuty::Other, begin + 2s) == 1);
}

TEST_CASE("polls of cache events stay within the byte budget")
{
    auto scheduler = schedulerWith(begin);
    CHECK(scheduler.takeDueEvents(begin).size() == 1);
    scheduler.noteEvents(engine, 6000, begin);
    CHECK(scheduler.takeDueEvents(begin + 99s).empty());
    CHECK(scheduler.takeDueEvents(begin + 100s).size() == 1);
}

TEST_CASE("the report of a replaced endpoint process is discarded")
{
    auto scheduler = schedulerWith(begin);
    scheduler.setEndpoints({{engine, true}});
    CHECK(due(scheduler, PollDuty::Other, begin + 1ms) == 1);
}
