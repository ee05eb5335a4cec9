#include <doctest/doctest.h>

#include "testsite.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

/// The callback of an exchange holds its call, and a connection releases the callback with the exchange.
bool hasEndedWithoutAnswer(const TestSite &site, FakeExchange &exchange)
{
    exchange.onClosed = nullptr;
    return !exchange.hasEnded() && site.callsInProgress() == 0;
}

} // namespace

TEST_CASE("a call that waited for an endpoint is not sent if its caller has left meanwhile")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + step(EngineStep::Kind::End)};
    site.applyEntries({});
    const auto exchange = site.begin({{"Request-Id", "c1"}});
    REQUIRE_FALSE(exchange->hasEnded());
    exchange->hasCallerLeft = true;
    site.applyEntries({site.a.entry()});
    site.retryWaitingCalls();
    site.runFor(100ms);
    CHECK(site.a.received.empty());
    CHECK(hasEndedWithoutAnswer(site, *exchange));
}

TEST_CASE("a call is not sent if its caller has left while the connection to the endpoint was opened, and the connection is kept")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + step(EngineStep::Kind::End)};
    const auto exchange = site.begin({{"Request-Id", "c1"}});
    exchange->hasCallerLeft = true;
    site.runFor(100ms);
    CHECK(site.a.received.empty());
    CHECK(hasEndedWithoutAnswer(site, *exchange));
    CHECK(site.openConnections() == 1);
}

TEST_CASE("a call whose endpoint failed is not sent to another one if its caller has left meanwhile")
{
    TestSite site(firstPort);
    site.a.scripts = {pause(50ms) + step(EngineStep::Kind::Reject)};
    site.b.scripts = {events(2) + step(EngineStep::Kind::End)};
    const auto exchange = site.begin({{"Request-Id", "c1"}});
    while (site.a.received.empty()) {
        site.runFor(1ms);
    }
    exchange->hasCallerLeft = true;
    site.runFor(100ms);
    CHECK(site.b.received.empty());
    CHECK(hasEndedWithoutAnswer(site, *exchange));
}
