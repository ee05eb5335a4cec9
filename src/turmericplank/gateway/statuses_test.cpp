#include <doctest/doctest.h>

#include "../net/rawendpoint.hpp"
#include "forwardedcall.hpp"
#include "testsite.hpp"
#include "turmericplank/gateway/peerforwardmessage.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using net::testing::RawEndpoint;

namespace {

constexpr std::uint16_t RawPortOffset = 2300; ///< beyond the ports of all runs
constexpr int OutcomeUnknownStatus = 502;

std::string threeDigits(int status)
{
    return std::string(status < 10 ? "00" : status < 100 ? "0" : "") + std::to_string(status);
}

bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

/// Calls that must not run twice, answered by one endpoint with one status after the other.
struct StatusSite
{
    StatusSite()
    {
        auto entry = site.a.entry();
        entry.id = base::EndpointId("raw");
        entry.address = raw.address();
        site.applyEntries({entry});
    }

    boost::intrusive_ptr<FakeExchange> answerWith(int status)
    {
        const std::string id = "c" + std::to_string(status);
        const auto exchange = site.begin({{"Request-Id", id}}, "/o/x");
        const auto connection = connectionOf(id);
        raw.write(connection,
                  "HTTP/1.1 " + threeDigits(status) + " X\r\nRequest-Id: " + id + "\r\nServer-Seal: s\r\nConnection: close\r\n"
                      + (hasNoBody(status) ? "" : "Content-Length: 2\r\n") + "\r\n" + (hasNoBody(status) ? "" : "ok"));
        raw.close(connection);
        CHECK(raw.runUntil([&] { return exchange->hasEnded(); }));
        return exchange;
    }

    /// The connection that carries a call; each one carries one call.
    std::size_t connectionOf(const std::string &id)
    {
        const auto it = raw.connections();
        REQUIRE(raw.readHead(it));
        REQUIRE(raw.received(it).find("Request-Id: " + id + "\r\n") != std::string::npos);
        return it;
    }

    TestSite site{firstPort, 1};
    RawEndpoint raw{site.context(), static_cast<std::uint16_t>(firstPort + RawPortOffset)};
};

} // namespace

// Guards against a failure of an endpoint that reaches the caller with another status than the endpoint gave.
TEST_CASE("each final status of an endpoint is relayed as it was, and what is no final status counts as no answer")
{
    StatusSite it;
    for (int status = 0; status <= 999; ++status) {
        CAPTURE(status);
        const auto exchange = it.answerWith(status);
        const bool isFinal = status >= 200;
        CHECK(exchange->status == (isFinal && !impliesNotRun(status) ? status : OutcomeUnknownStatus));
        CHECK((!isFinal || impliesNotRun(status) || exchange->body == (hasNoBody(status) ? "" : "ok")));
    }
}

TEST_CASE("a peer relays each final status as the number that it is")
{
    for (int status = 200; status <= 999; ++status) {
        CAPTURE(status);
        PeerForwardReader reader;
        int received = 0;
        reader.onHead = [&received](const PeerForwardHead &head) {
            received = head.status;
        };
        CHECK(reader.feed(headFrame({status, {{"Server-Seal", "s"}}, false})));
        CHECK(received == status);
    }
    for (const int status : {-1, 0, 99, 100, 101, 199, 1000}) {
        CAPTURE(status);
        PeerForwardReader reader;
        reader.onHead = [](const PeerForwardHead &) {
        };
        CHECK_FALSE(reader.feed(headFrame({status, {}, false})));
    }
}
