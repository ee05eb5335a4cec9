#include "turmericplank/net/httpclient.hpp"
#include "turmericplank/net/httpserver.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::net;

namespace {

const base::Address testAddress{"127.0.0.1", 20101};

struct Served
{
    explicit Served(std::function<void(ExchangePointer)> onRequest)
    {
        HttpServerOptions options;
        options.listen = testAddress;
        options.maxHeaderBytes = 1024;
        options.maxBodyBytes = 2048;
        options.requestTimeout = std::chrono::milliseconds(100);
        options.onRequest = std::move(onRequest);
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

    /// Sends bytes as they are and returns what comes back until the server closes.
    std::string sendRaw(const std::string &bytes)
    {
        boost::asio::ip::tcp::socket socket(context);
        std::string answer;
        socket.connect({boost::asio::ip::make_address(testAddress.host), testAddress.port});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer), [&](boost::system::error_code, std::size_t) { context.stop(); });
        context.restart();
        context.run_for(std::chrono::seconds(10));
        return answer;
    }

    boost::asio::io_context context;
    std::unique_ptr<HttpServer> server;
};

void echo(const ExchangePointer &exchange)
{
    exchange->respond({200, {{"Content-Type", "text/plain"}}, exchange->request().body});
}

} // namespace

TEST_CASE("a whole answer comes back with its status and body")
{
    Served served(echo);
    const auto response = served.fetch({"POST", "/echo", {}, "hello"});
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->body == "hello");
    CHECK(header(response->headers, "content-type") == "text/plain");
}

TEST_CASE("a streamed answer arrives whole and in order")
{
    Served served([](const ExchangePointer &exchange) {
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
    const auto response = served.fetch({"GET", "/", {}, ""});
    REQUIRE(response);
    CHECK(response->body == expected);
}

TEST_CASE("an answer that breaks off is told apart from a whole one")
{
    Served served([](const ExchangePointer &exchange) {
        exchange->startStream(200, {});
        exchange->writeChunk("part");
        exchange->abort();
    });
    const auto response = served.fetch({"GET", "/", {}, ""});
    REQUIRE_FALSE(response);
    CHECK(response.error() == CallFailure::ConnectionLost);
}

TEST_CASE("silence ends a call at its deadline")
{
    ExchangePointer kept;
    Served served([&](const ExchangePointer &exchange) { kept = exchange; });
    const auto response = served.fetch({"GET", "/", {}, ""}, std::chrono::milliseconds(50));
    REQUIRE_FALSE(response);
    CHECK(response.error() == CallFailure::TimedOut);
    kept.reset();
}

TEST_CASE("a refused connection is known not to have sent anything")
{
    Served served(echo);
    served.server->stopAccepting();
    served.server.reset();
    const auto response = served.fetch({"GET", "/", {}, ""});
    REQUIRE_FALSE(response);
    CHECK(response.error() == CallFailure::NotSent);
}

TEST_CASE("a handler learns that its caller has gone")
{
    ExchangePointer kept;
    bool isClosed = false;
    Served served([&](const ExchangePointer &exchange) {
        kept = exchange;
        exchange->setOnClosed([&] { isClosed = true; });
    });
    served.fetch({"GET", "/", {}, ""}, std::chrono::milliseconds(50));
    served.context.restart();
    for (int n = 0; n < 100 && !isClosed; ++n) {
        served.context.run_for(std::chrono::milliseconds(20));
    }
    CHECK(isClosed);
    kept.reset();
}

TEST_CASE("limits and broken requests get an HTTP status and leave the server serving")
{
    Served served(echo);
    CHECK(served.sendRaw("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(served.sendRaw("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
    CHECK(served.sendRaw("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" + std::string(4000, 'x')).starts_with("HTTP/1.1 413"));
    CHECK(served.sendRaw("POST / HTTP/1.1\r\nContent-Length: 40\r\n\r\nhalf").starts_with("HTTP/1.1 408"));
    CHECK(served.fetch({"POST", "/", {}, "still"})->body == "still");
}

TEST_CASE("two requests can share a connection")
{
    Served served(echo);
    const auto answer = served.sendRaw("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nonePOST / HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo");
    CHECK(answer.find("one") != std::string::npos);
    CHECK(answer.find("two") != std::string::npos);
}

TEST_CASE("query parameters are decoded")
{
    CHECK(queryParameter("/v1/entry?model=a%2Fb&zone=x+y", "model") == "a/b");
    CHECK(queryParameter("/v1/entry?model=a%2Fb&zone=x+y", "zone") == "x y");
    CHECK(queryParameter("/v1/entry", "zone").empty());
    CHECK(path("/v1/entry?model=a") == "/v1/entry");
}
