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

struct Site
{
    Router router;
    std::mt19937_64 random{1};
    RouteRequest request;

    explicit Site(const RouterOptions &options = {})
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

TEST_CASE("work sent since the report counts")
{
    Site site;
    const auto first = site.send(1);
    const auto second = site.send(2);
    CHECK(first.endpoint != second.endpoint);
    CHECK((second.reason == RouteReason::LessWork));
    CHECK(second.runnerUp == first.endpoint);
}

TEST_CASE("own work that a report holds is not counted twice")
{
    Site site;
    const auto first = site.send(1);
    const auto other = first.endpoint == firstEndpoint ? secondEndpoint : firstEndpoint;
    site.router.noteReport(first.endpoint, reportWith(1, at(5)), at(10));
    site.router.noteReport(other, reportWith(6, at(5)), at(10));
    site.router.noteFirstToken(first.ticket, at(11));
    CHECK(site.send(12).endpoint == first.endpoint);
}

TEST_CASE("an endpoint that fails fast is left alone, tried by one request, and trusted again")
{
    Site site;
    int failures = 0;
    for (int n = 1; n <= 40; ++n) {
        site.request.excluded = n <= 2 ? std::vector{secondEndpoint} : std::vector<base::EndpointId>();
        const auto choice = site.send(n);
        const bool isFailing = choice.endpoint == firstEndpoint;
        failures += isFailing ? 1 : 0;
        site.router.noteEnded(choice.ticket, isFailing ? AttemptEnd::Failed : AttemptEnd::Answered, at(n));
    }
    CHECK(failures == 2);
    const auto probe = site.send(5000);
    CHECK(probe.endpoint == firstEndpoint);
    CHECK((probe.reason == RouteReason::Probe));
    CHECK(site.send(5001).endpoint == secondEndpoint);
    site.router.noteEnded(probe.ticket, AttemptEnd::Answered, at(5050));
    CHECK(site.send(90000).endpoint == firstEndpoint);
}

TEST_CASE("a single failure is forgiven with time")
{
    Site site;
    const auto failed = site.send(1);
    site.router.noteEnded(failed.ticket, AttemptEnd::Failed, at(2));
    const auto other = site.send(3);
    CHECK(other.endpoint != failed.endpoint);
    CHECK(site.send(120'000).endpoint == failed.endpoint);
}

TEST_CASE("a marked endpoint gets nothing, a suspect one only where no other can")
{
    Site site;
    site.router.setStatus(firstEndpoint, EndpointStatus::Suspect, at(1));
    CHECK(site.send(2).endpoint == secondEndpoint);
    site.router.setStatus(secondEndpoint, EndpointStatus::Leaving, at(3));
    const auto choice = site.send(4);
    CHECK(choice.endpoint == firstEndpoint);
    CHECK((choice.reason == RouteReason::LastResort));
    site.router.setStatus(firstEndpoint, EndpointStatus::Gone, at(5));
    const auto none = site.router.choose(site.request, at(6), site.random);
    REQUIRE_FALSE(none);
    CHECK((none.error().reason == NoRouteReason::Unavailable));
}

TEST_CASE("why there is no endpoint is typed")
{
    Site site;
    site.request.excluded = {firstEndpoint, secondEndpoint};
    CHECK((site.router.choose(site.request, at(1), site.random).error().reason == NoRouteReason::Excluded));
    site.request.model = base::ModelName("absent");
    CHECK((site.router.choose(site.request, at(1), site.random).error().reason == NoRouteReason::NotResident));
    site.request.model = base::ModelName("nobody");
    CHECK((site.router.choose(site.request, at(1), site.random).error().reason == NoRouteReason::UnknownModel));
}

TEST_CASE("a conversation goes back to the endpoint that holds its prefix")
{
    Site site;
    site.request.promptTokens = 2000;
    site.request.prefixes = {{11, 1000}, {12, 2000}};
    const auto first = site.send(1);
    site.router.noteEnded(first.ticket, AttemptEnd::Answered, at(100));
    site.request.prefixes.push_back({13, 2200});
    site.request.promptTokens = 2200;
    const auto second = site.send(200);
    CHECK(second.endpoint == first.endpoint);
    CHECK((second.reason == RouteReason::PrefixCached));
    CHECK(second.cachedTokens == 2000);
}

TEST_CASE("moving the cache is chosen where it beats computing the prompt and waiting")
{
    RouterOptions options;
    options.mayMoveCache = true;
    Site site(options);
    site.request.promptTokens = 3000;
    site.request.prefixes = {{21, 3000}};
    const auto first = site.send(1);
    site.router.noteFirstToken(first.ticket, at(300));
    site.request.excluded = {first.endpoint};
    const auto moved = site.send(301);
    REQUIRE(moved.cacheSource);
    CHECK(moved.cacheSource->endpoint == first.endpoint);
    CHECK(moved.cachedTokens == 3000);
}
