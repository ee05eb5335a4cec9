#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "rawendpoint.hpp"
#include "turmericplank/net/clientconnection.hpp"
#include "turmericplank/net/httpclient.hpp"

using namespace turmericplank;
using namespace turmericplank::net;
using testing::RawEndpoint;

namespace {

std::string response(const std::string &fields, const std::string &version = "1.1")
{
    return "HTTP/" + version + " 200 OK\r\nRequest-Id: mine\r\n" + fields + "\r\n5\r\nhello\r\n0\r\n\r\n";
}

/// Outcome of a request over a kept connection, whose endpoint writes some bytes and then closes the connection.
SendOutcome sendOverKeptConnection(const std::string &bytes)
{
    boost::asio::io_context context;
    RawEndpoint endpoint(context);
    ClientConnectionPointer connection;
    openConnection(context, endpoint.address(), base::now() + std::chrono::seconds(5),
                   [&connection](const tl::expected<ClientConnectionPointer, ConnectionError> &opened) { connection = opened.value_or(nullptr); });
    REQUIRE(endpoint.runUntil([&connection] { return connection != nullptr; }));
    std::optional<SendOutcome> outcome;
    std::string body;
    ClientRequest request;
    request.request = {"GET", "/x", {{"Request-Id", "mine"}}, {}};
    request.deadline = base::now() + std::chrono::seconds(10);
    request.onHeaders = [](int, const Headers &) {
        return HeaderAction::Accept;
    };
    request.onChunk = [&body](std::string_view chunk) {
        body.append(chunk);
    };
    request.onEnd = [&outcome](SendOutcome it) {
        outcome = it;
    };
    connection->send(std::move(request));
    REQUIRE(endpoint.readHead(0));
    endpoint.write(0, bytes);
    endpoint.close(0);
    REQUIRE(endpoint.runUntil([&outcome] { return outcome.has_value(); }));
    CHECK(body == (isComplete(*outcome) ? "hello" : ""));
    connection->close();
    context.restart();
    context.poll();
    return *outcome;
}

tl::expected<HttpResponse, CallFailure> call(const std::string &bytes)
{
    boost::asio::io_context context;
    RawEndpoint endpoint(context);
    HttpCallOptions options;
    options.to = endpoint.address();
    options.request = {"GET", "/x", {}, {}};
    std::optional<tl::expected<HttpResponse, CallFailure>> result;
    fetchResponse(context, std::move(options), [&result](const auto &it) { result = it; });
    REQUIRE(endpoint.readHead(0));
    endpoint.write(0, bytes);
    endpoint.close(0);
    REQUIRE(endpoint.runUntil([&result] { return result.has_value(); }));
    return *result;
}

} // namespace

// Guards against an answer that reaches the caller with a transfer coding still applied, or with an end that was guessed.
TEST_CASE("a response whose end is in doubt is lost")
{
    for (const auto &bytes :
         {response("Transfer-Encoding: gzip\r\n"), response("Transfer-Encoding: identity\r\n"), response("Transfer-Encoding: chunked, identity\r\n"),
          response("Transfer-Encoding: gzip, chunked\r\n"), response("Transfer-Encoding: chunked, chunked\r\n"), response("Transfer-Encoding:\r\n"),
          response("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n"), response("Transfer-Encoding: identity\r\nContent-Length: 15\r\n"),
          response("Transfer-Encoding: chunked\r\nContent-Length: 15\r\n"), response("Transfer-Encoding: chunked\r\n", "1.0")}) {
        CAPTURE(bytes);
        CHECK((sendOverKeptConnection(bytes) == SendOutcome::Malformed));
        const auto result = call(bytes);
        REQUIRE_FALSE(result);
        CHECK((result.error() == CallFailure::Malformed));
    }
}

TEST_CASE("a chunked response is complete, whatever the case of its coding")
{
    for (const auto &bytes : {response("Transfer-Encoding: chunked\r\n"), response("TRANSFER-ENCODING: Chunked\r\n")}) {
        CAPTURE(bytes);
        CHECK((sendOverKeptConnection(bytes) == SendOutcome::Complete));
        const auto result = call(bytes);
        REQUIRE(result);
        CHECK(result->body == "hello");
    }
}
