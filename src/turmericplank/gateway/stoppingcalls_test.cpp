#include <doctest/doctest.h>

#include "../net/rawendpoint.hpp"
#include "testsite.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using net::testing::RawEndpoint;

namespace {

constexpr std::uint16_t RawPortOffset = 2600; ///< beyond the ports of all runs
constexpr auto ShortPause = std::chrono::milliseconds(50);

} // namespace

// Guards against calls that are passed on late in a stop and cut off when the daemon ends.
TEST_CASE("a call that waits when the daemon stops taking calls is refused as not run at once, and one that was sent is answered")
{
    TestSite site(firstPort, 1);
    RawEndpoint raw(site.context(), static_cast<std::uint16_t>(firstPort + RawPortOffset));
    auto entry = site.a.entry();
    entry.id = base::EndpointId("raw");
    entry.address = raw.address();
    site.applyEntries({entry}, 1);
    const auto sent = site.begin({{"Request-Id", "c1"}}, "/o/x");
    REQUIRE(raw.readHead(0));
    const auto waiting = site.begin({{"Request-Id", "c2"}}, "/o/x");
    site.runFor(ShortPause);
    CHECK_FALSE(waiting->hasEnded());
    site.rejectNewCalls();
    CHECK(waiting->status == 503);
    CHECK(waiting->isComplete);
    CHECK(waiting->body == toString(RejectionReason::Draining));
    waiting->onClosed = nullptr; // as a connection does after the response
    site.runFor(ShortPause);
    CHECK_FALSE(sent->hasEnded());
    CHECK(site.callsInProgress() == 1);
    raw.write(0, "HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\ndone");
    CHECK(raw.runUntil([&] { return sent->hasEnded(); }));
    CHECK(sent->status == 200);
    site.runFor(ShortPause);
    CHECK(raw.connections() == 1);
}

TEST_CASE("a call that its endpoint refuses after the daemon stopped taking calls is left to other daemons")
{
    TestSite site(firstPort);
    site.a.scripts = {pause(ShortPause) + step(EngineStep::Kind::Reject)};
    site.b.scripts = {events(2) + step(EngineStep::Kind::End)};
    const auto exchange = site.begin({{"Request-Id", "c1"}}, "/o/x");
    site.runFor(ShortPause / 2);
    site.rejectNewCalls();
    site.runFor(2 * ShortPause);
    CHECK(exchange->status == 503);
    CHECK(exchange->body == toString(RejectionReason::Draining));
    CHECK(site.b.received.empty());
}

TEST_CASE("a stream that breaks off after the daemon stopped taking calls still goes on at another endpoint")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + pause(ShortPause) + step(EngineStep::Kind::Break)};
    site.b.scripts = {events(1) + step(EngineStep::Kind::End)};
    const auto exchange = site.begin({{"Request-Id", "c1"}});
    site.runFor(ShortPause / 2);
    site.rejectNewCalls();
    site.runFor(4 * ShortPause);
    CHECK(exchange->isComplete);
    CHECK(exchange->body == "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: b\n\n");
}
