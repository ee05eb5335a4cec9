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

PollScheduler planWith(base::Time polledAt)
{
    PollScheduler plan;
    plan.setEndpoints({{engine, false}});
    plan.takeDueLoads(polledAt, [](const auto &) { return PollDuty::Other; });
    plan.noteReport(engine, reportAt(polledAt - 200ms), polledAt);
    return plan;
}

std::size_t due(PollScheduler &plan, PollDuty duty, base::Time now)
{
    return plan.takeDueLoads(now, [duty](const auto &) { return duty; }).size();
}

} // namespace

TEST_CASE("an endpoint that nothing is known of is polled at once, and once at a time")
{
    PollScheduler plan;
    plan.setEndpoints({{engine, false}});
    CHECK(due(plan, PollDuty::Other, begin) == 1);
    CHECK(due(plan, PollDuty::Other, begin + 10s) == 0);
}

TEST_CASE("the primary polls each second, the others while no report comes")
{
    auto plan = planWith(begin);
    CHECK(due(plan, PollDuty::Primary, begin + 999ms) == 0);
    CHECK(due(plan, PollDuty::Backup, begin + 2499ms) == 0);
    CHECK(due(plan, PollDuty::Other, begin + 5999ms) == 0);
    CHECK(due(plan, PollDuty::Other, begin + 6s) == 1);
    plan = planWith(begin);
    CHECK(due(plan, PollDuty::Backup, begin + 2500ms) == 1);
    plan = planWith(begin);
    CHECK(due(plan, PollDuty::Primary, begin + 1s) == 1);
}

TEST_CASE("a report that is passed on stands for a poll as long as its content is known")
{
    auto sender = planWith(begin + 2s);
    const auto digests = sender.ownDigests(begin + 2100ms);
    REQUIRE(digests.size() == 1);
    CHECK(digests.front().age == 300ms);

    auto plan = planWith(begin);
    const auto report = plan.noteDigest(digests.front(), begin + 2100ms);
    REQUIRE(report);
    CHECK(report->takenAt == begin + 1800ms);
    CHECK(report->resident == reportAt(begin).resident);
    CHECK(due(plan, PollDuty::Backup, begin + 4s) == 0);
    CHECK(plan.ownDigests(begin + 2100ms).empty());
}

TEST_CASE("changed content is asked for at once")
{
    auto plan = planWith(begin);
    CHECK_FALSE(plan.noteDigest({engine, 100ms, 1, 0, 12345}, begin + 500ms));
    CHECK(due(plan, PollDuty::Other, begin + 500ms) == 1);
}

TEST_CASE("a late digest does not replace a newer report")
{
    auto plan = planWith(begin);
    CHECK_FALSE(plan.noteDigest({engine, 5s, 9, 9, contentHashOf(reportAt(begin))}, begin + 100ms));
}

TEST_CASE("a suspected endpoint is looked at again unless that was just done")
{
    auto plan = planWith(begin);
    plan.pollSoon(engine, begin + 500ms);
    CHECK(due(plan, PollDuty::Other, begin + 500ms) == 0);
    plan.pollSoon(engine, begin + 1s);
    CHECK(due(plan, PollDuty::Other, begin + 1s) == 1);
    plan.noteFailure(engine, begin + 1s);
    CHECK(due(plan, PollDuty::Other, begin + 1500ms) == 0);
    CHECK(due(plan, PollDuty::Other, begin + 2s) == 1);
}

TEST_CASE("cache events keep to their budget of bytes")
{
    auto plan = planWith(begin);
    CHECK(plan.takeDueEvents(begin).size() == 1);
    plan.noteEvents(engine, 6000, begin);
    CHECK(plan.takeDueEvents(begin + 99s).empty());
    CHECK(plan.takeDueEvents(begin + 100s).size() == 1);
}

TEST_CASE("an endpoint that became another process is forgotten")
{
    auto plan = planWith(begin);
    plan.setEndpoints({{engine, true}});
    CHECK(due(plan, PollDuty::Other, begin + 1ms) == 1);
}
