#include <doctest/doctest.h>

#include "testsite.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;

namespace {

constexpr auto ShortPause = std::chrono::milliseconds(50);
constexpr auto PauseBeyondStateTimeout = std::chrono::milliseconds(350);
constexpr auto MaxDetour = std::chrono::milliseconds(600); ///< by an endpoint that does not answer for its state

std::vector<EngineStep> shortStream()
{
    return events(2) + step(EngineStep::Kind::End);
}

/// Two endpoints of different software versions, of which "a" gets each call first.
struct MixedSite : TestSite
{
    MixedSite()
        : TestSite(firstPort)
    {
        applyEntries({a.entry("v1"), b.entry("v2")});
        a.scripts = {shortStream(), shortStream()};
        b.scripts = {shortStream(), shortStream()};
    }

    /// "a" starts again under its id, and its new entry has not been read.
    void restartUnnoticed()
    {
        ++a.incarnation;
    }
};

} // namespace

TEST_CASE("a stream does not go on at an endpoint that has started again before its new entry is read")
{
    MixedSite site;
    site.remoteOrigins[forwarding::callDigest("c0")] = "v1";
    site.restartUnnoticed();
    const auto exchange = site.call({{"Request-Id", "c1"}, {"Last-Event-Id", "1"}, {"Resumes", "c0"}});
    CHECK(exchange->status == 503);
    CHECK(site.a.received.empty());
    CHECK(site.b.received.empty());
}

TEST_CASE("within an answer a stream does not go on at an endpoint that has started again, also if the service was not mixed")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + pause(ShortPause) + step(EngineStep::Kind::Break)};
    site.b.scripts = {shortStream()};
    ++site.b.incarnation;
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(exchange->isCutOff);
    CHECK(site.a.stateRequests == 0);
    CHECK(site.a.received.size() == 1);
    CHECK(site.b.received.empty());
}

TEST_CASE("a stream is not remembered for the software version that an endpoint had before it started again")
{
    MixedSite site;
    site.restartUnnoticed();
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(exchange->status == 200);
    CHECK(site.a.received.empty());
    CHECK(site.b.received.size() == 1);
    REQUIRE(site.streamOrigins().find(forwarding::callDigest("c1")) != nullptr);
    CHECK(*site.streamOrigins().find(forwarding::callDigest("c1")) == "v2");
}

TEST_CASE("an endpoint that has started again gets calls once its new entry is read, for which one read is requested")
{
    MixedSite site;
    site.restartUnnoticed();
    site.call({{"Request-Id", "c1"}});
    site.call({{"Request-Id", "c2"}});
    CHECK(site.refreshes == 1);
    CHECK(site.a.stateRequests == 1);
    CHECK(site.b.received.size() == 2);
    site.applyEntries({site.a.entry("v2"), site.b.entry("v2")});
    CHECK(site.call({{"Request-Id", "c3"}})->status == 200);
    CHECK(site.a.received.size() == 1);
}

TEST_CASE("with one software version no engine is asked for its incarnation")
{
    TestSite site(firstPort);
    site.a.scripts = {shortStream()};
    CHECK(site.call({{"Request-Id", "c1"}})->status == 200);
    CHECK(site.a.stateRequests == 0);
}

TEST_CASE("an engine is asked for its incarnation once for each connection")
{
    MixedSite site;
    CHECK(site.call({{"Request-Id", "c1"}})->status == 200);
    CHECK(site.call({{"Request-Id", "c2"}})->status == 200);
    CHECK(site.a.received.size() == 2);
    CHECK(site.a.stateRequests == 1);
    CHECK(site.openConnections() == 1);
}

TEST_CASE("a connection from before a service was mixed is verified")
{
    TestSite site(firstPort);
    site.a.scripts = {shortStream(), shortStream()};
    CHECK(site.call({{"Request-Id", "c1"}})->status == 200);
    site.applyEntries({site.a.entry("v1"), site.b.entry("v2")});
    CHECK(site.call({{"Request-Id", "c2"}})->status == 200);
    CHECK(site.a.stateRequests == 1);
    CHECK(site.a.received.size() == 2);
    CHECK(site.openConnections() == 1);
}

TEST_CASE("a call whose endpoint does not answer for its incarnation is sent to another one")
{
    MixedSite site;
    site.a.answersStateRequests = false;
    const auto exchange = site.call({{"Request-Id", "c1"}}, MaxDetour);
    CHECK(exchange->status == 200);
    CHECK(site.a.received.empty());
    CHECK(site.b.received.size() == 1);
    CHECK(site.openConnections() == 1);
    exchange->onClosed = nullptr; // holds the call
    site.runFor(ShortPause);
    CHECK(site.callsInProgress() == 0);
}

TEST_CASE("a call that its caller leaves while the incarnation is asked for is not sent, and its connection is closed")
{
    MixedSite site;
    site.a.answersStateRequests = false;
    const auto exchange = site.begin({{"Request-Id", "c1"}});
    site.runFor(ShortPause);
    CHECK(site.a.stateRequests == 1);
    exchange->onClosed();
    site.runFor(PauseBeyondStateTimeout);
    CHECK(site.a.received.empty());
    CHECK(site.b.received.empty());
    CHECK(site.openConnections() == 0);
}

TEST_CASE("a call whose endpoint leaves while its incarnation is asked for is sent to another one")
{
    MixedSite site;
    site.a.answersStateRequests = false;
    const auto exchange = site.begin({{"Request-Id", "c1"}});
    site.runFor(ShortPause);
    site.applyEntries({site.b.entry("v2")});
    site.runFor(PauseBeyondStateTimeout);
    CHECK(exchange->status == 200);
    CHECK(site.a.received.empty());
    CHECK(site.b.received.size() == 1);
}
