#include "turmericplank/routing/router.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::routing;
using namespace std::chrono_literals;

namespace {

const base::ModelName advice{"valve-advice"};
const base::EndpointId firstEndpoint{"e-1"};
const base::EndpointId secondEndpoint{"e-2"};

base::Time at(std::int64_t milliseconds)
{
    return base::timeFromMilliseconds(1'000'000 + milliseconds);
}

LoadReport reportWith(std::uint32_t running, base::Time takenAt)
{
    LoadReport report;
    report.incarnation = base::Incarnation(1);
    report.takenAt = takenAt;
    report.running = running;
    report.resident = {{advice, "1"}};
    return report;
}

struct Fixture
{
    Router router;
    std::mt19937_64 random{1};
    RouteRequest request;

    explicit Fixture(const RouterOptions &options = {})
        : router(options)
    {
        router.setEndpoints({{firstEndpoint, {"127.0.0.1", 1}, base::ZoneName("r/a"), 4}, {secondEndpoint, {"127.0.0.1", 2}, base::ZoneName("r/b"), 4}});
        router.setModels({advice, base::ModelName("absent")}, {{base::AdapterName("heater"), advice}});
        router.noteReport(firstEndpoint, reportWith(0, at(0)), at(0));
        router.noteReport(secondEndpoint, reportWith(0, at(0)), at(0));
        request.model = advice;
        request.deadline = base::Time::max();
        request.promptTokens = 400;
    }

    Choice send(std::int64_t milliseconds)
    {
        const auto choice = router.choose(request, at(milliseconds), random);
        REQUIRE(choice);
        router.noteSent(*choice, request, at(milliseconds));
        return *choice;
    }
};

} // namespace

TEST_CASE("work sent after the last report counts")
{
    Fixture fixture;
    const auto first = fixture.send(1);
    const auto second = fixture.send(2);
    CHECK(first.endpoint != second.endpoint);
    CHECK((second.reason == RouteReason::LessWork));
    CHECK(second.runnerUp == first.endpoint);
}

TEST_CASE("own work included in a report is not counted twice")
{
    Fixture fixture;
    const auto first = fixture.send(1);
    const auto other = first.endpoint == firstEndpoint ? secondEndpoint : firstEndpoint;
    fixture.router.noteReport(first.endpoint, reportWith(1, at(5)), at(10));
    fixture.router.noteReport(other, reportWith(6, at(5)), at(10));
    fixture.router.noteFirstToken(first.ticket, at(11));
    CHECK(fixture.send(12).endpoint == first.endpoint);
}

TEST_CASE("a fast-failing endpoint is blocked, probed by one request, and used again after it succeeds")
{
    Fixture fixture;
    int failures = 0;
    for (int n = 1; n <= 40; ++n) {
        fixture.request.excluded = n <= 2 ? std::vector{secondEndpoint} : std::vector<base::EndpointId>();
        const auto choice = fixture.send(n);
        const bool isFailing = choice.endpoint == firstEndpoint;
        failures += isFailing ? 1 : 0;
        fixture.router.noteEnded(choice.ticket, isFailing ? AttemptOutcome::Failed : AttemptOutcome::Answered, at(n));
    }
    CHECK(failures == 2);
    const auto probe = fixture.send(5000);
    CHECK(probe.endpoint == firstEndpoint);
    CHECK((probe.reason == RouteReason::Probe));
    CHECK(fixture.send(5001).endpoint == secondEndpoint);
    fixture.router.noteEnded(probe.ticket, AttemptOutcome::Answered, at(5050));
    CHECK(fixture.send(90000).endpoint == firstEndpoint);
}

TEST_CASE("the effect of a single failure decays with time")
{
    Fixture fixture;
    const auto failed = fixture.send(1);
    fixture.router.noteEnded(failed.ticket, AttemptOutcome::Failed, at(2));
    const auto other = fixture.send(3);
    CHECK(other.endpoint != failed.endpoint);
    CHECK(fixture.send(120'000).endpoint == failed.endpoint);
}

TEST_CASE("leaving and gone endpoints get no requests, a suspect one only if there is no other")
{
    Fixture fixture;
    fixture.router.setStatus(firstEndpoint, EndpointStatus::Suspect, at(1));
    CHECK(fixture.send(2).endpoint == secondEndpoint);
    fixture.router.setStatus(secondEndpoint, EndpointStatus::Leaving, at(3));
    const auto choice = fixture.send(4);
    CHECK(choice.endpoint == firstEndpoint);
    CHECK((choice.reason == RouteReason::LastResort));
    fixture.router.setStatus(firstEndpoint, EndpointStatus::Gone, at(5));
    const auto none = fixture.router.choose(fixture.request, at(6), fixture.random);
    REQUIRE_FALSE(none);
    CHECK((none.error().reason == NoRouteReason::Unavailable));
}

TEST_CASE("a missing route has a specific reason")
{
    Fixture fixture;
    fixture.request.excluded = {firstEndpoint, secondEndpoint};
    CHECK((fixture.router.choose(fixture.request, at(1), fixture.random).error().reason == NoRouteReason::Excluded));
    fixture.request.model = base::ModelName("absent");
    CHECK((fixture.router.choose(fixture.request, at(1), fixture.random).error().reason == NoRouteReason::NotResident));
    fixture.request.model = base::ModelName("nobody");
    CHECK((fixture.router.choose(fixture.request, at(1), fixture.random).error().reason == NoRouteReason::UnknownModel));
}

TEST_CASE("a conversation returns to the endpoint that holds its prefix")
{
    Fixture fixture;
    fixture.request.promptTokens = 2000;
    fixture.request.prefixes = {{11, 1000}, {12, 2000}};
    const auto first = fixture.send(1);
    fixture.router.noteEnded(first.ticket, AttemptOutcome::Answered, at(100));
    fixture.request.prefixes.push_back({13, 2200});
    fixture.request.promptTokens = 2200;
    const auto second = fixture.send(200);
    CHECK(second.endpoint == first.endpoint);
    CHECK((second.reason == RouteReason::PrefixCached));
    CHECK(second.cachedTokens == 2000);
}

TEST_CASE("the cache is moved if that is faster than computing the prompt")
{
    RouterOptions options;
    options.mayMoveCache = true;
    Fixture fixture(options);
    fixture.request.promptTokens = 3000;
    fixture.request.prefixes = {{21, 3000}};
    const auto first = fixture.send(1);
    fixture.router.noteFirstToken(first.ticket, at(300));
    fixture.request.excluded = {first.endpoint};
    const auto moved = fixture.send(301);
    REQUIRE(moved.cacheSource);
    CHECK(moved.cacheSource->endpoint == first.endpoint);
    CHECK(moved.cachedTokens == 3000);
}

TEST_CASE("an endpoint that has asked for a pause gets nothing until it ends")
{
    Fixture fixture;
    fixture.router.notePause(firstEndpoint, at(1000));
    for (int n = 0; n < 20; ++n) {
        CHECK(fixture.send(n).endpoint == secondEndpoint);
    }
    fixture.request.excluded = {secondEndpoint};
    CHECK(fixture.send(1000).endpoint == firstEndpoint);
}

TEST_CASE("with all endpoints paused, a request learns when the first of them takes requests again")
{
    Fixture fixture;
    fixture.router.notePause(firstEndpoint, at(1000));
    fixture.router.notePause(secondEndpoint, at(600));
    fixture.router.notePause(secondEndpoint, at(500)); // a shorter pause does not end a longer one
    const auto choice = fixture.router.choose(fixture.request, at(100), fixture.random);
    REQUIRE_FALSE(choice);
    CHECK((choice.error() == NoRoute{NoRouteReason::Paused, at(600)}));
    CHECK(fixture.router.replicas(advice) == 2); // a paused endpoint still counts as a replica
}

TEST_CASE("a pause ends with the incarnation that has asked for it")
{
    Fixture fixture;
    fixture.router.notePause(firstEndpoint, at(100000));
    auto report = reportWith(0, at(10));
    report.incarnation = base::Incarnation(2);
    fixture.router.noteReport(firstEndpoint, report, at(10));
    fixture.request.excluded = {secondEndpoint};
    CHECK(fixture.send(20).endpoint == firstEndpoint);
}

TEST_CASE("a request that is bound to a software version goes to an endpoint of it, however many others there are")
{
    Router router;
    router.setModels({advice}, {});
    std::vector<RoutableEndpoint> endpoints;
    constexpr int Count = 200; // more than are scored for one request
    for (int n = 0; n < Count; ++n) {
        endpoints.push_back({base::EndpointId("e-" + std::to_string(n)), {"127.0.0.1", 1}, base::ZoneName("a"), 4, n == 150 ? "v2" : "v1"});
    }
    router.setEndpoints(endpoints);
    for (const auto &it : endpoints) {
        router.noteReport(it.id, reportWith(0, at(0)), at(0));
    }
    std::mt19937_64 random{1};
    RouteRequest request;
    request.model = advice;
    request.deadline = base::Time::max();
    request.softwareVersion = "v2";
    const auto choice = router.choose(request, at(1), random);
    REQUIRE(choice);
    CHECK(choice->endpoint == base::EndpointId("e-150"));
    request.excluded = {choice->endpoint};
    CHECK_FALSE(router.choose(request, at(2), random).has_value());
    request.softwareVersion = "v3";
    CHECK_FALSE(router.choose(request, at(3), random).has_value());
}
