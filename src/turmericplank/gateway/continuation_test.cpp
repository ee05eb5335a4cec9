#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "../net/rawendpoint.hpp"
#include "testsite.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using net::testing::RawEndpoint;

namespace {

constexpr std::uint16_t RawPortOffset = 2400; ///< beyond the ports of all runs

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

std::string chunk(const std::string &text)
{
    const char *digits = "0123456789abcdef";
    std::string size;
    for (std::size_t n = text.size(); n > 0; n /= 16) {
        size.insert(size.begin(), digits[n % 16]);
    }
    return size + "\r\n" + text + "\r\n";
}

const std::string sealedHead = "HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nServer-Seal: s\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string lastChunk = "0\r\n\r\n";
const std::string firstEvents = event(1) + event(2);

std::string withLength(const std::string &head, const std::string &body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The caller's stream when its first endpoint sends some text and closes, and the next endpoint answers the resumption with these bytes and closes.
boost::intrusive_ptr<FakeExchange> resume(const std::string &firstText, const std::string &answer)
{
    TestSite site(firstPort);
    RawEndpoint first(site.context(), static_cast<std::uint16_t>(firstPort + RawPortOffset));
    RawEndpoint next(site.context(), static_cast<std::uint16_t>(firstPort + RawPortOffset + 1));
    auto a = site.a.entry();
    a.id = base::EndpointId("first");
    a.address = first.address();
    auto b = site.b.entry();
    b.id = base::EndpointId("next");
    b.address = next.address();
    site.applyEntries({a, b});
    const auto exchange = site.begin({{"Request-Id", "c1"}});
    REQUIRE(first.readHead(0));
    first.write(0, sealedHead + chunked + chunk(firstText));
    REQUIRE(first.runUntil([&] { return exchange->body == firstEvents; }));
    first.close(0);
    // The daemon asks a new connection for the incarnation of the endpoint first.
    REQUIRE(next.readHead(0));
    next.write(0, withLength("HTTP/1.1 200 OK\r\n", "1"));
    REQUIRE(next.readUntil(0, [&] { return next.received(0).find("Last-Event-Id: 2\r\n") != std::string::npos; }));
    next.write(0, answer);
    next.close(0);
    CHECK(next.runUntil([&] { return exchange->hasEnded(); }));
    return exchange;
}

const std::string halfEvent = "id: 3\ndata";

struct Answer
{
    std::string name;
    std::string bytes;
};

/// Answers that do not continue the stream.
std::vector<Answer> foreignAnswers()
{
    const std::string errorHead = "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: c1\r\nServer-Seal: s\r\n";
    const std::string unsealedHead = "HTTP/1.1 200 OK\r\nRequest-Id: c1\r\n";
    std::vector<Answer> answers = {
        {"200 without seal", withLength(unsealedHead, event(3))},
        {"text without a blank line", withLength(sealedHead, "overloaded")},
        {"text that ends in a blank line", withLength(sealedHead, "overloaded\n\n")},
        {"the same in chunks", sealedHead + chunked + chunk("overloaded\n\n") + lastChunk},
        {"an event without a number", sealedHead + chunked + chunk("event: error\ndata: overloaded\n\n") + lastChunk},
        {"JSON of another type", withLength(sealedHead + "Content-Type: application/json\r\n", "{\"error\":\"overloaded\"}\n\n")},
        {"a whole response head", withLength(sealedHead, errorHead + "\r\n")},
        {"neither length nor chunks, no event", sealedHead + "\r\n"},
        {"neither length nor chunks, text", sealedHead + "\r\noverloaded\n\n"},
        {"204", "HTTP/1.1 204 No Content\r\nRequest-Id: c1\r\nServer-Seal: s\r\n\r\n"},
        {"202 without a body", "HTTP/1.1 202 Accepted\r\nRequest-Id: c1\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n"},
        {"206 with an event", withLength("HTTP/1.1 206 Partial Content\r\nRequest-Id: c1\r\nServer-Seal: s\r\n", event(3))},
    };
    for (const int status : {302, 404, 429, 500, 503, 529}) {
        const auto head = "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: c1\r\nServer-Seal: s\r\nNot-Executed: 1\r\n";
        answers.push_back({std::to_string(status) + " with a length", withLength(head, event(3))});
        answers.push_back({std::to_string(status) + " in chunks", head + chunked + chunk(event(3)) + lastChunk});
        answers.push_back({std::to_string(status) + " without framing", head + "\r\n" + event(3)});
    }
    return answers;
}

} // namespace

// Guards against streams that end as complete, or get an error's text, when the endpoint that is to continue them answers with something else.
TEST_CASE("a stream whose next endpoint answers with something else than its continuation is cut off without any of it")
{
    for (const auto &firstText : {firstEvents, firstEvents + halfEvent}) {
        for (const auto &it : foreignAnswers()) {
            CAPTURE(it.name);
            const auto exchange = resume(firstText, it.bytes);
            CHECK(exchange->isCutOff);
            CHECK_FALSE(exchange->isComplete);
            CHECK(exchange->body == firstEvents);
        }
    }
}

TEST_CASE("a stream that broke off inside an event is not complete when its next endpoint has nothing left to send")
{
    for (const auto &it : {withLength(sealedHead, ""), sealedHead + chunked + lastChunk}) {
        CAPTURE(it);
        const auto exchange = resume(firstEvents + halfEvent, it);
        CHECK(exchange->isCutOff);
        CHECK(exchange->body == firstEvents);
    }
}

TEST_CASE("a stream whose endpoint is silent inside an event does not end with that of another endpoint that has nothing left to send")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + step(EngineStep::Kind::HalfEvent) + pause(std::chrono::milliseconds(250)) + events(1) + step(EngineStep::Kind::End)};
    site.b.scripts = {step(EngineStep::Kind::Accept) + step(EngineStep::Kind::End)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(site.b.received == std::vector<std::string>{"2"});
    CHECK(exchange->isComplete);
    CHECK(exchange->body == "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\nid: 3\ndata: a\n\n");
}

TEST_CASE("a stream that broke off after its last event is complete when its next endpoint has nothing left to send")
{
    for (const auto &it : {withLength(sealedHead, ""), sealedHead + chunked + lastChunk, withLength(sealedHead, event(2))}) {
        CAPTURE(it);
        const auto exchange = resume(firstEvents, it);
        CHECK(exchange->isComplete);
        CHECK(exchange->body == firstEvents);
    }
}

TEST_CASE("a stream goes on with the events of its next endpoint, and with what follows them")
{
    for (const auto &firstText : {firstEvents, firstEvents + halfEvent}) {
        const auto exchange = resume(firstText, sealedHead + chunked + chunk(event(3) + "data: [DONE]\n\n") + lastChunk);
        CHECK(exchange->isComplete);
        CHECK(exchange->body == firstEvents + event(3) + "data: [DONE]\n\n");
    }
}
