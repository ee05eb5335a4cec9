#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "rawendpoint.hpp"
#include "turmericplank/net/clientconnection.hpp"

using namespace turmericplank;
using namespace turmericplank::net;
using namespace turmericplank::net::testing;

namespace asio = boost::asio;

namespace {

constexpr std::size_t LargestBody = 4 * 1024 * 1024; ///< bytes; far beyond what the sockets' buffers take
constexpr std::size_t MediumBody = 100 * 1024; ///< bytes

const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string success = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string failure = "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n";

/// A body in which each place can be told from the others.
std::string makeBody(std::size_t size)
{
    std::string body;
    for (std::size_t n = 0; body.size() < size; ++n) {
        body += std::to_string(n) + ' ';
    }
    body.resize(size);
    return body;
}

std::string requestBytes(const std::string &target, const base::Address &to, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: " + toString(to) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A connection whose first request, a long one, gets a response after its head was read.
struct EarlyResponse
{
    explicit EarlyResponse(const std::string &response, std::size_t bodySize = LargestBody)
        : body(makeBody(bodySize))
        , first(requestBytes("/long", endpoint.address(), body))
    {
        openConnection(context, endpoint.address(), base::now() + std::chrono::seconds(5),
                       [this](const tl::expected<ClientConnectionPointer, ConnectionError> &opened) { connection = opened.value_or(nullptr); });
        REQUIRE(endpoint.runUntil([this] { return connection != nullptr; }));
        send("/long", body);
        REQUIRE(endpoint.readHead(0));
        endpoint.write(0, response);
        REQUIRE(endpoint.runUntil([this] { return outcome.has_value(); }));
        connection->setOnRestWritten([this] { ++restsWritten; });
    }

    ~EarlyResponse()
    {
        connection->close();
        context.poll();
    }

    void send(const std::string &target, const std::string &requestBody)
    {
        ClientRequest request;
        request.request = {"POST", target, {}, requestBody};
        request.deadline = base::now() + std::chrono::seconds(30);
        request.onHeaders = [](int, const Headers &) {
            return HeaderAction::Accept;
        };
        request.onEnd = [this](SendOutcome it) {
            outcome = it;
        };
        outcome.reset();
        connection->send(std::move(request));
    }

    asio::io_context context;
    RawEndpoint endpoint{context};
    std::string body;
    std::string first; ///< bytes of the first request
    ClientConnectionPointer connection;
    std::optional<SendOutcome> outcome;
    int restsWritten = 0;
};

} // namespace

// Guards against bytes of the next request in the middle of a body whose endpoint has answered early and reads on later.
TEST_CASE("a connection whose endpoint answers before it has read the request carries the next one only after the rest")
{
    for (const auto &response : {refusal, success, failure}) {
        for (const auto size : {LargestBody, MediumBody}) {
            CAPTURE(response);
            CAPTURE(size);
            EarlyResponse it(response, size);
            CHECK((it.outcome == SendOutcome::Complete));
            // The largest body is still under way for certain; a smaller one may be in the buffers of the sockets as a whole.
            CHECK((size < LargestBody || !it.connection->isIdle()));
            CHECK((it.connection->isIdle() || it.connection->isWritingRest()));
            if (it.connection->isIdle()) {
                it.send("/next", "question"); // as the pool does with an idle connection
            }
            CHECK(it.endpoint.readUntil(0, [&] { return it.endpoint.received(0).size() >= it.first.size(); }));
            CHECK((it.endpoint.received(0).substr(0, it.first.size()) == it.first));
            if (it.outcome) {
                CHECK(it.endpoint.runUntil([&] { return it.connection->isIdle(); }));
                it.send("/next", "question");
            }
            const auto next = requestBytes("/next", it.endpoint.address(), "question");
            CHECK(it.endpoint.readUntil(0, [&] { return it.endpoint.received(0).size() >= it.first.size() + next.size(); }));
            CHECK((it.endpoint.received(0).substr(it.first.size()) == next));
            it.endpoint.write(0, success);
            CHECK(it.endpoint.runUntil([&] { return it.outcome.has_value(); }));
            CHECK((it.outcome == SendOutcome::Complete));
            CHECK(it.connection->isIdle());
        }
    }
}

TEST_CASE("the end of the rest of a request is reported once, when it is written")
{
    EarlyResponse it(refusal);
    CHECK(it.restsWritten == 0);
    CHECK(it.endpoint.readUntil(0, [&] { return it.connection->isIdle(); }));
    CHECK(it.restsWritten == 1);
    CHECK_FALSE(it.connection->isWritingRest());
}

TEST_CASE("an early response that ends the connection ends it without the rest of the request")
{
    EarlyResponse it("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    CHECK((it.outcome == SendOutcome::Complete));
    CHECK_FALSE(it.connection->isIdle());
    CHECK_FALSE(it.connection->isWritingRest());
    CHECK(it.endpoint.readUntil(0, [&] { return it.endpoint.hasEnded(0); }));
    CHECK((it.first.starts_with(it.endpoint.received(0))));
}

TEST_CASE("a connection that ends while the rest of a request is written is not used again")
{
    SUBCASE("closed by the endpoint")
    {
        EarlyResponse it(success);
        it.endpoint.close(0);
        CHECK(it.endpoint.runUntil([&] { return it.restsWritten > 0; }));
        CHECK_FALSE(it.connection->isIdle());
        CHECK_FALSE(it.connection->isWritingRest());
        CHECK(it.restsWritten == 1);
    }
    SUBCASE("reset by the endpoint")
    {
        EarlyResponse it(refusal);
        it.endpoint.reset(0);
        CHECK(it.endpoint.runUntil([&] { return it.restsWritten > 0; }));
        CHECK_FALSE(it.connection->isIdle());
        CHECK(it.restsWritten == 1);
    }
    SUBCASE("a second response")
    {
        EarlyResponse it(refusal);
        it.endpoint.write(0, success);
        CHECK(it.endpoint.runUntil([&] { return it.restsWritten > 0; }));
        CHECK_FALSE(it.connection->isIdle());
        CHECK(it.restsWritten == 1);
        CHECK(it.endpoint.readUntil(0, [&] { return it.endpoint.hasEnded(0); }));
        CHECK((it.first.starts_with(it.endpoint.received(0))));
    }
    SUBCASE("an endpoint that never reads on")
    {
        EarlyResponse it(refusal);
        CHECK(it.endpoint.runUntil([&] { return it.restsWritten > 0; }));
        CHECK_FALSE(it.connection->isIdle());
        CHECK(it.restsWritten == 1);
    }
    SUBCASE("closed by its owner, who is not told")
    {
        EarlyResponse it(refusal);
        it.connection->close();
        CHECK(it.endpoint.readUntil(0, [&] { return it.endpoint.hasEnded(0); }));
        CHECK(it.restsWritten == 0);
    }
}
