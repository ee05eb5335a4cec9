#include "turmericplank/net/httpclient.hpp"
#include "turmericplank/net/httpserver.hpp"

#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::net;

namespace {

const base::Address testAddress{"127.0.0.1", 20101};

struct TestServer
{
    explicit TestServer(std::function<void(ExchangePointer)> onRequest)
    {
        HttpServerOptions options;
        options.listen = testAddress;
        options.maxHeaderBytes = 1024;
        options.maxBodyBytes = 2048;
        options.requestTimeout = std::chrono::milliseconds(100);
        options.onRequest = std::move(onRequest);
        options.onUnanswered = [this](UnansweredCause cause) {
            unanswered.push_back(cause);
        };
        server = listenHttp(context, options);
    }

    tl::expected<HttpResponse, CallFailure> fetch(HttpRequest request, base::Duration bodyIdleTimeout = std::chrono::seconds(5))
    {
        tl::expected<HttpResponse, CallFailure> result = tl::make_unexpected(CallFailure::NotSent);
        HttpCallOptions options;
        options.to = testAddress;
        options.request = std::move(request);
        options.responseHeaderTimeout = bodyIdleTimeout;
        options.bodyIdleTimeout = bodyIdleTimeout;
        fetchResponse(context, options, [&](auto it) {
            result = std::move(it);
            context.stop();
        });
        context.restart();
        context.run_for(std::chrono::seconds(10));
        return result;
    }

    /// Sends raw bytes and returns everything received until the server closes.
    std::string sendRaw(const std::string &bytes)
    {
        boost::asio::ip::tcp::socket socket(context);
        std::string response;
        socket.connect({boost::asio::ip::make_address(testAddress.host), testAddress.port});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(response), [&](boost::system::error_code, std::size_t) { context.stop(); });
        context.restart();
        context.run_for(std::chrono::seconds(10));
        return response;
    }

    boost::asio::io_context context;
    std::vector<UnansweredCause> unanswered;
    std::unique_ptr<HttpServer> server;
};

void echo(const ExchangePointer &exchange)
{
    exchange->respond({200, {{"Content-Type", "text/plain"}}, exchange->request().body});
}

} // namespace

TEST_CASE("a complete response is received with its status, headers and body")
{
    TestServer testServer(echo);
    const auto response = testServer.fetch({"POST", "/echo", {}, "hello"});
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->body == "hello");
    CHECK(header(response->headers, "content-type") == "text/plain");
}

TEST_CASE("a streamed response is received completely and in order")
{
    TestServer testServer([](const ExchangePointer &exchange) {
        exchange->startStream(200, {});
        for (int n = 0; n < 1000; ++n) {
            exchange->writeChunk(std::to_string(n) + ',');
        }
        exchange->endStream();
    });
    std::string expected;
    for (int n = 0; n < 1000; ++n) {
        expected += std::to_string(n) + ',';
    }
    const auto response = testServer.fetch({"GET", "/", {}, ""});
    REQUIRE(response);
    CHECK(response->body == expected);
}

TEST_CASE("a truncated response is distinguished from a complete one")
{
    TestServer testServer([](const ExchangePointer &exchange) {
        exchange->startStream(200, {});
        exchange->writeChunk("part");
        exchange->abort();
    });
    const auto response = testServer.fetch({"GET", "/", {}, ""});
    REQUIRE_FALSE(response);
    CHECK(response.error() == CallFailure::ConnectionLost);
}

TEST_CASE("a call without a response times out")
{
    ExchangePointer heldExchange;
    TestServer testServer([&](const ExchangePointer &exchange) { heldExchange = exchange; });
    const auto response = testServer.fetch({"GET", "/", {}, ""}, std::chrono::milliseconds(50));
    REQUIRE_FALSE(response);
    CHECK(response.error() == CallFailure::TimedOut);
    heldExchange.reset();
}

TEST_CASE("a refused connection is reported as not sent")
{
    TestServer testServer(echo);
    testServer.server->stopAccepting();
    testServer.server.reset();
    const auto response = testServer.fetch({"GET", "/", {}, ""});
    REQUIRE_FALSE(response);
    CHECK(response.error() == CallFailure::NotSent);
}

TEST_CASE("a handler is notified when its caller disconnects")
{
    ExchangePointer heldExchange;
    bool isClosed = false;
    TestServer testServer([&](const ExchangePointer &exchange) {
        heldExchange = exchange;
        exchange->setOnClosed([&] { isClosed = true; });
    });
    testServer.fetch({"GET", "/", {}, ""}, std::chrono::milliseconds(50));
    testServer.context.restart();
    for (int n = 0; n < 100 && !isClosed; ++n) {
        testServer.context.run_for(std::chrono::milliseconds(20));
    }
    CHECK(isClosed);
    heldExchange.reset();
}

TEST_CASE("a handler is notified when its caller disconnects after it has sent its next request")
{
    std::vector<ExchangePointer> exchanges;
    int closed = 0;
    TestServer testServer([&](const ExchangePointer &exchange) {
        exchange->setOnClosed([&] { ++closed; });
        exchanges.push_back(exchange);
    });
    boost::asio::ip::tcp::socket socket(testServer.context);
    socket.connect({boost::asio::ip::make_address(testAddress.host), testAddress.port});
    const std::string request = "GET /first HTTP/1.1\r\n\r\n";
    for (int n = 0; n < 3; ++n) {
        boost::asio::write(socket, boost::asio::buffer(request));
        testServer.context.restart();
        testServer.context.run_for(std::chrono::milliseconds(20));
    }
    CHECK(closed == 0);
    socket.close();
    testServer.context.restart();
    testServer.context.run_for(std::chrono::milliseconds(50));
    CHECK(closed == 1);
    CHECK(exchanges.size() == 1);
}

TEST_CASE("requests that arrive during a response are answered after it")
{
    std::vector<ExchangePointer> exchanges;
    TestServer testServer([&](const ExchangePointer &exchange) { exchanges.push_back(exchange); });
    boost::asio::ip::tcp::socket socket(testServer.context);
    socket.connect({boost::asio::ip::make_address(testAddress.host), testAddress.port});
    const std::size_t requestCount = 40;
    const std::string body(2000, 'x');
    for (std::size_t n = 0; n < requestCount; ++n) {
        const auto request = "POST /" + std::to_string(n) + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        boost::asio::write(socket, boost::asio::buffer(request));
        testServer.context.restart();
        testServer.context.run_for(std::chrono::milliseconds(2));
    }
    REQUIRE(exchanges.size() == 1);
    for (std::size_t n = 0; n < requestCount; ++n) {
        REQUIRE(exchanges.size() == n + 1);
        CHECK(exchanges[n]->request().target == "/" + std::to_string(n));
        CHECK(exchanges[n]->request().body == body);
        exchanges[n]->respond({200, {}, "done"});
        testServer.context.restart();
        testServer.context.run_for(std::chrono::milliseconds(5));
    }
}

TEST_CASE("oversized, slow and malformed requests are rejected with an HTTP status and the server keeps serving")
{
    TestServer testServer(echo);
    CHECK(testServer.sendRaw("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(testServer.sendRaw("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
    CHECK(testServer.sendRaw("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" + std::string(4000, 'x')).starts_with("HTTP/1.1 413"));
    CHECK(testServer.sendRaw("POST / HTTP/1.1\r\nContent-Length: 40\r\n\r\nhalf").starts_with("HTTP/1.1 408"));
    CHECK(testServer.fetch({"POST", "/", {}, "still"})->body == "still");
}

TEST_CASE("two requests can share a connection")
{
    TestServer testServer(echo);
    const auto response =
        testServer.sendRaw("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nonePOST / HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo");
    CHECK(response.find("one") != std::string::npos);
    CHECK(response.find("two") != std::string::npos);
}

namespace {

constexpr std::size_t HeaderBytes = 1024;
constexpr std::size_t BodyBytes = 2048;

/// Sends two requests on one connection, the second one after a pause in which the server's limits are raised, and returns what comes
/// until the server closes.
std::string sendAroundRaisedLimits(TestServer &testServer, const std::string &second)
{
    boost::asio::ip::tcp::socket socket(testServer.context);
    socket.connect({boost::asio::ip::make_address(testAddress.host), testAddress.port});
    boost::asio::write(socket, boost::asio::buffer(std::string("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\none")));
    testServer.context.restart();
    testServer.context.run_for(std::chrono::milliseconds(50));
    testServer.server->setLimits(4 * HeaderBytes, 4 * BodyBytes, std::chrono::milliseconds(100), std::chrono::seconds(60));
    testServer.context.restart();
    testServer.context.run_for(std::chrono::milliseconds(300));
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(second), ec);
    std::string response;
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(response),
                            [&testServer](boost::system::error_code, std::size_t) { testServer.context.stop(); });
    testServer.context.restart();
    testServer.context.run_for(std::chrono::seconds(2));
    return response;
}

} // namespace

TEST_CASE("a raised idle timeout applies to connections that are idle already")
{
    TestServer testServer(echo);
    testServer.server->setLimits(HeaderBytes, BodyBytes, std::chrono::milliseconds(100), std::chrono::milliseconds(150));
    const auto response = sendAroundRaisedLimits(testServer, "POST / HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo");
    CHECK(response.ends_with("two"));
}

TEST_CASE("raised limits of a request's size apply to connections that are idle already")
{
    TestServer testServer(echo);
    const std::string body(2 * BodyBytes, 'x');
    const auto response =
        sendAroundRaisedLimits(testServer, "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
    CHECK(response.ends_with(body));
}

TEST_CASE("the cause of an unanswered request is reported, and answered ones are not")
{
    TestServer testServer([](const ExchangePointer &exchange) {
        if (exchange->request().target != "/cut") {
            echo(exchange);
            return;
        }
        exchange->startStream(200, {});
        exchange->writeChunk("part");
        exchange->abort();
    });
    CHECK(testServer.sendRaw("POST / HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\none").find("one") != std::string::npos);
    CHECK(testServer.sendRaw("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" + std::string(4000, 'x')).starts_with("HTTP/1.1 413"));
    CHECK(testServer.unanswered.empty());
    testServer.fetch({"GET", "/cut", {}, ""});
    CHECK(testServer.unanswered == std::vector{UnansweredCause::Aborted});
    testServer.server->closeAfterResponses();
    testServer.sendRaw("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nonePOST / HTTP/1.1\r\nContent-Length: 3\r\n\r\ntwo");
    CHECK(testServer.unanswered == std::vector{UnansweredCause::Aborted, UnansweredCause::CrossedClose});
}

TEST_CASE("query parameters are decoded")
{
    CHECK(queryParameter("/v1/entry?model=a%2Fb&zone=x+y", "model") == "a/b");
    CHECK(queryParameter("/v1/entry?model=a%2Fb&zone=x+y", "zone") == "x y");
    CHECK(queryParameter("/v1/entry", "zone").empty());
    CHECK(path("/v1/entry?model=a") == "/v1/entry");
}

TEST_CASE("a body that is larger than all buffers is received completely")
{
    const std::string body(1024 * 1024, 'x');
    TestServer testServer([&](const ExchangePointer &exchange) {
        if (exchange->request().target == "/whole") {
            exchange->respond({200, {}, body});
            return;
        }
        exchange->startStream(200, {});
        for (int n = 0; n < 4; ++n) {
            exchange->writeChunk(body);
        }
        exchange->endStream();
    });
    const auto whole = testServer.fetch({"GET", "/whole", {}, ""});
    REQUIRE(whole);
    CHECK(whole->body == body);
    const auto streamed = testServer.fetch({"GET", "/streamed", {}, ""});
    REQUIRE(streamed);
    CHECK(streamed->body == body + body + body + body);
}

TEST_CASE("an endless chunk header is malformed")
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    boost::asio::ip::tcp::socket socket(context);
    const std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;" + std::string(8 * 1024 * 1024, 'x');
    acceptor.async_accept(socket, [&](boost::system::error_code) {
        boost::asio::async_write(socket, boost::asio::buffer(bytes), [&](boost::system::error_code, std::size_t) { socket.close(); });
    });
    std::optional<tl::expected<HttpResponse, CallFailure>> result;
    HttpCallOptions options;
    options.to = {"127.0.0.1", acceptor.local_endpoint().port()};
    options.request = {"GET", "/", {}, ""};
    fetchResponse(context, options, [&](auto it) { result = std::move(it); });
    context.run();
    REQUIRE(result);
    REQUIRE_FALSE(*result);
    CHECK(result->error() == CallFailure::Malformed);
}

// Guards against a stream that ends early and looks complete to a caller for whom only the end of the connection ends it.
TEST_CASE("a stream that is aborted resets the connection of an HTTP/1.0 caller")
{
    TestServer testServer([](const ExchangePointer &exchange) {
        exchange->startStream(200, {});
        exchange->writeChunk("first");
        exchange->abort();
    });
    boost::asio::ip::tcp::socket socket(testServer.context);
    socket.connect({boost::asio::ip::make_address(testAddress.host), testAddress.port});
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /x HTTP/1.0\r\nHost: h\r\n\r\n")));
    std::string response;
    boost::system::error_code result;
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(response), [&](boost::system::error_code ec, std::size_t) {
        result = ec;
        testServer.context.stop();
    });
    testServer.context.run_for(std::chrono::seconds(10));
    CHECK((result == boost::asio::error::connection_reset));
}
