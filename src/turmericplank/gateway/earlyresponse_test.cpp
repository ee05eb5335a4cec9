#include <doctest/doctest.h>

#include "../net/rawendpoint.hpp"
#include "testsite.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using net::testing::RawEndpoint;

namespace {

constexpr std::uint16_t RawPortOffset = 2200; ///< beyond the ports of all runs
constexpr std::size_t LongBody = 3'500'000; ///< bytes; far beyond what the sockets' buffers take

std::string responseTo(const std::string &id, const std::string &statusLine, const std::string &header, const std::string &body)
{
    return "HTTP/1.1 " + statusLine + "\r\nRequest-Id: " + id + "\r\n" + header + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string refusalOf(const std::string &id)
{
    return responseTo(id, "503 Service Unavailable", "Not-Executed: 1", "");
}

std::string successOf(const std::string &id)
{
    return responseTo(id, "200 OK", "Server-Seal: s", "done");
}

/// A site with one endpoint, which the test reads from and writes to by hand.
struct RawSite
{
    explicit RawSite(std::uint32_t connectionLimit)
    {
        auto entry = site.a.entry();
        entry.id = base::EndpointId("raw");
        entry.address = raw.address();
        site.applyEntries({entry}, connectionLimit);
    }

    /// Begins a call that must not run twice.
    boost::intrusive_ptr<FakeExchange> begin(const std::string &id, std::size_t bodySize)
    {
        return site.begin({{"Request-Id", id}}, "/o/" + id, std::string(bodySize, id.back()));
    }

    TestSite site{firstPort, 1};
    RawEndpoint raw{site.context(), static_cast<std::uint16_t>(firstPort + RawPortOffset)};
};

/// What follows the header section of the first request that was read from a connection.
/// Without a copy, since readUntil() checks its condition after each kilobyte of a long body.
std::string_view afterHead(std::string_view received)
{
    const auto end = received.find("\r\n\r\n");
    return end == std::string_view::npos ? std::string_view() : received.substr(end + 4);
}

} // namespace

// Guards against another call's request in the middle of a long body whose endpoint has answered early and reads on later.
TEST_CASE("the next call takes another connection while an endpoint that answered early has not read the long body of the call before")
{
    for (const bool isRefused : {true, false}) {
        CAPTURE(isRefused);
        RawSite it(10);
        const auto first = it.begin("c1", LongBody);
        REQUIRE(it.raw.readHead(0));
        it.raw.write(0, isRefused ? refusalOf("c1") : successOf("c1"));
        CHECK(it.raw.runUntil([&] { return first->hasEnded(); }));
        CHECK(first->status == (isRefused ? 503 : 200));

        const auto second = it.begin("c2", 100);
        REQUIRE(it.raw.readHead(1));
        it.raw.write(1, successOf("c2"));
        CHECK(it.raw.runUntil([&] { return second->hasEnded(); }));
        CHECK(second->status == 200);
        CHECK(second->body == "done");

        CHECK(it.raw.readUntil(0, [&] { return afterHead(it.raw.received(0)).size() >= LongBody; }));
        CHECK((afterHead(it.raw.received(0)) == std::string(LongBody, '1')));
        CHECK(it.site.openConnections() == 2);
    }
}

TEST_CASE("a connection whose endpoint has not read the rest of a call counts towards the limit, and carries calls again afterwards")
{
    RawSite it(1);
    const auto first = it.begin("c1", LongBody);
    REQUIRE(it.raw.readHead(0));
    it.raw.write(0, refusalOf("c1"));
    CHECK(it.raw.runUntil([&] { return first->hasEnded(); }));
    CHECK(it.site.openConnections() == 1);

    const auto second = it.begin("c2", 100);
    it.site.runFor(std::chrono::milliseconds(50));
    CHECK(it.raw.connections() == 1);
    CHECK(it.raw.readUntil(0, [&] { return afterHead(it.raw.received(0)).size() >= LongBody; }));
    CHECK((afterHead(it.raw.received(0)) == std::string(LongBody, '1')));

    const auto third = it.begin("c3", 100);
    CHECK(it.raw.readUntil(0, [&] { return afterHead(it.raw.received(0)).size() > LongBody + 100; }));
    it.raw.write(0, successOf("c3"));
    CHECK(it.raw.runUntil([&] { return third->hasEnded(); }));
    CHECK(third->status == 200);
    CHECK(it.raw.connections() == 1);
    CHECK(it.site.openConnections() == 1);
}

TEST_CASE("a connection that ends before the endpoint has read the rest of a call no longer counts towards the limit")
{
    RawSite it(1);
    const auto first = it.begin("c1", LongBody);
    REQUIRE(it.raw.readHead(0));
    it.raw.write(0, refusalOf("c1"));
    CHECK(it.raw.runUntil([&] { return first->hasEnded(); }));
    it.raw.reset(0);
    CHECK(it.raw.runUntil([&] { return it.site.openConnections() == 0; }));
}
