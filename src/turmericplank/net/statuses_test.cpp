#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "turmericplank/net/httpserver.hpp"

using namespace turmericplank;
using namespace turmericplank::net;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const base::Address serverAddress{"127.0.0.1", 20102};

/// Sends a request to a server with a handler and returns all bytes of the response.
std::string exchangeBytes(const std::function<void(const ExchangePointer &)> &onRequest, const std::string &request)
{
    asio::io_context context;
    HttpServerOptions options;
    options.listen = serverAddress;
    options.onRequest = onRequest;
    const auto server = listenHttp(context, options);
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address(serverAddress.host), serverAddress.port});
    asio::write(socket, asio::buffer(request));
    std::string response;
    asio::async_read(socket, asio::dynamic_buffer(response), [&context](boost::system::error_code, std::size_t) { context.stop(); });
    context.run_for(std::chrono::seconds(10));
    return response;
}

std::string requestBytes(const std::string &method = "GET")
{
    return method + " /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
}

} // namespace

// Guards against a caller who gets "HTTP/1.1 000 <unknown-status>" with the endpoint's proof for a status without a registered name.
TEST_CASE("each status is written as the number that it is, and one without a name has an empty reason phrase")
{
    for (int status = 200; status <= 999; ++status) {
        CAPTURE(status);
        const auto start = "HTTP/1.1 " + std::to_string(status) + ' ';
        const auto whole = exchangeBytes([status](const ExchangePointer &it) { it->respond({status, {{"Server-Seal", "s"}}, {}}); }, requestBytes());
        CHECK(whole.starts_with(start));
        CHECK(whole.find("unknown") == std::string::npos);
        const auto stream = exchangeBytes(
            [status](const ExchangePointer &it) {
                it->startStream(status, {{"Server-Seal", "s"}});
                it->endStream();
            },
            requestBytes());
        CHECK(stream.starts_with(start));
    }
    const auto unnamed = exchangeBytes([](const ExchangePointer &it) { it->respond({529, {}, "full"}); }, requestBytes());
    CHECK(unnamed == "HTTP/1.1 529 \r\nContent-Length: 4\r\nConnection: close\r\n\r\nfull");
    const auto named = exchangeBytes([](const ExchangePointer &it) { it->respond({404, {}, "none"}); }, requestBytes());
    CHECK(named == "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\nConnection: close\r\n\r\nnone");
}

TEST_CASE("a malformed request is rejected with a status without a name as well")
{
    asio::io_context context;
    HttpServerOptions options;
    options.listen = serverAddress;
    options.onBadRequest = [](int) {
        return HttpResponse{520, {}, "no"};
    };
    const auto server = listenHttp(context, options);
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address(serverAddress.host), serverAddress.port});
    asio::write(socket, asio::buffer(std::string("nonsense\r\n\r\n")));
    std::string response;
    asio::async_read(socket, asio::dynamic_buffer(response), [&context](boost::system::error_code, std::size_t) { context.stop(); });
    context.run_for(std::chrono::seconds(10));
    CHECK(response == "HTTP/1.1 520 \r\nConnection: close\r\nContent-Length: 2\r\n\r\nno");
}
