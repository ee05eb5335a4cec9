#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

#include "turmericplank/net/httpserver.hpp"

using namespace turmericplank;
using namespace turmericplank::net;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const base::Address address{"127.0.0.1", static_cast<std::uint16_t>(20700 + getpid() % 300)};
const std::string hiddenRequest = "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
const std::string chunkedBody = "5\r\nhello\r\n0\r\n\r\n";

struct Result
{
    std::vector<HttpRequest> requests; ///< that reached the handler
    std::string response; ///< all bytes until the server has closed the connection
};

/// Sends bytes to a server, and reads until it closes the connection.
Result send(std::string_view bytes, std::size_t pieceSize)
{
    asio::io_context context;
    Result result;
    HttpServerOptions options;
    options.listen = address;
    options.onRequest = [&result](const ExchangePointer &exchange) {
        result.requests.push_back(exchange->request());
        exchange->respond({200, {}, "ok"});
    };
    const auto server = listenHttp(context, std::move(options));
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address(address.host), address.port});
    socket.set_option(tcp::no_delay(true));
    while (!bytes.empty()) {
        const auto n = std::min(pieceSize, bytes.size());
        boost::system::error_code ignored; // a server that has closed the connection takes nothing more
        asio::write(socket, asio::buffer(bytes.data(), n), ignored);
        bytes.remove_prefix(n);
        context.restart();
        context.poll();
    }
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    asio::async_read(socket, asio::dynamic_buffer(result.response), [&context](boost::system::error_code, std::size_t) { context.stop(); });
    context.restart();
    context.run_for(std::chrono::seconds(10));
    return result;
}

/// Calls a function for a request that is sent at once and byte by byte.
void forBothPaces(const std::string &bytes, const std::function<void(const Result &)> &check)
{
    CAPTURE(bytes);
    check(send(bytes, bytes.size()));
    check(send(bytes, 1));
}

std::string head(const std::string &fields, const std::string &version = "1.1")
{
    return "POST /outer HTTP/" + version + "\r\nHost: h\r\n" + fields + "\r\n";
}

void checkRejected(const std::string &bytes, const std::string &status)
{
    forBothPaces(bytes, [&status](const Result &it) {
        CHECK(it.requests.empty());
        CHECK(it.response.starts_with("HTTP/1.1 " + status + ' '));
        CHECK(it.response.find("Connection: close") != std::string::npos);
        CHECK(it.response.find("HTTP/1.1", 1) == std::string::npos);
    });
}

} // namespace

// Guards against a request hidden in the body of another one that runs as a request of its own, since the end of the first one was guessed.
TEST_CASE("a request whose end is in doubt is rejected, and nothing behind its head is read as a request")
{
    for (const std::string coding :
         {"gzip", "identity", "chunked, identity", "chunked, chunked", "xchunked", "\"chunked\"", "chunked;a=b", "chunked,", ",chunked", "chunked gzip", ""}) {
        checkRejected(head("Transfer-Encoding: " + coding + "\r\n") + hiddenRequest, "400");
        checkRejected(head("Transfer-Encoding: " + coding + "\r\nContent-Length: " + std::to_string(hiddenRequest.size()) + "\r\n") + hiddenRequest, "400");
    }
    checkRejected(head("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n") + chunkedBody + hiddenRequest, "400");
    checkRejected(head("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n") + chunkedBody + hiddenRequest, "400");
    checkRejected(head("Transfer-Encoding:\r\nTransfer-Encoding: chunked\r\n") + chunkedBody + hiddenRequest, "400");
    checkRejected(head("Transfer-Encoding: chunked\r\n", "1.0") + chunkedBody + hiddenRequest, "400");
    checkRejected(head("Transfer-Encoding: gzip\r\nConnection: keep-alive\r\n", "1.0") + hiddenRequest, "400");
}

TEST_CASE("a request with a coding that is not supported is rejected")
{
    checkRejected(head("Transfer-Encoding: gzip, chunked\r\n") + chunkedBody + hiddenRequest, "501");
    checkRejected(head("Transfer-Encoding: deflate , Chunked\r\n") + chunkedBody + hiddenRequest, "501");
}

TEST_CASE("a request with a folded field is rejected")
{
    for (const std::string fields : {"X-Note: a\r\n Content-Length: 5\r\n", "X-Note: a\r\n\tTransfer-Encoding: chunked\r\n", "Content-Length:\r\n 5\r\n",
                                     "Transfer-Encoding:\r\n chunked\r\n", "Transfer-Encoding: chunked\r\n , identity\r\n"}) {
        checkRejected(head(fields) + chunkedBody + hiddenRequest, "400");
    }
}

TEST_CASE("other doubtful lengths are rejected")
{
    for (const std::string fields :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
          "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5, 6\r\n", "Content-Length: +5\r\n", "Content-Length: -5\r\n",
          "Content-Length: 0x5\r\n", "Content-Length:\r\n", "Content-Length : 5\r\n", "Transfer-Encoding : chunked\r\n", "Content-Length: 5\n"}) {
        checkRejected(head(fields) + chunkedBody + hiddenRequest, "400");
    }
}

TEST_CASE("malformed chunks and control characters are rejected")
{
    for (const std::string size : {"+5", "-5", "0x5", " 5", "", "g", "fffffffffffffffff", "5 5", "5\n"}) {
        checkRejected(head("Transfer-Encoding: chunked\r\n") + size + "\r\nhello\r\n0\r\n\r\n" + hiddenRequest, "400");
    }
    checkRejected(head("Transfer-Encoding: chunked\r\n") + "5\r\nhello!\r\n0\r\n\r\n" + hiddenRequest, "400");
    for (const std::string &field : {std::string("X-Note: a\rContent-Length: 5\r\n"), std::string("X-Note: a\nContent-Length: 5\r\n"),
                                     std::string("X-Note: a\0b\r\n", 13), std::string("Content-Length\0: 5\r\n", 20)}) {
        checkRejected(head(field) + hiddenRequest, "400");
    }
}

TEST_CASE("requests whose end is certain are served, one after the other")
{
    for (const std::string fields : {"Transfer-Encoding: chunked\r\n", "transfer-encoding:   CHUNKED \t\r\n"}) {
        forBothPaces(head(fields) + chunkedBody + hiddenRequest, [](const Result &it) {
            REQUIRE(it.requests.size() == 2);
            CHECK(it.requests[0].target == "/outer");
            CHECK(it.requests[0].body == "hello");
            CHECK(it.requests[1].target == "/hidden");
            CHECK(it.requests[1].body == "hi");
        });
    }
    forBothPaces(head("Content-Length: " + std::to_string(hiddenRequest.size()) + "\r\n") + hiddenRequest, [](const Result &it) {
        REQUIRE(it.requests.size() == 1);
        CHECK(it.requests[0].body == hiddenRequest);
    });
}

// Guards against a request that is run with fields that its head does not have.
TEST_CASE("trailing fields do not become fields of the request")
{
    const auto bytes = head("Transfer-Encoding: chunked\r\nRequest-Id: mine\r\n") + "5\r\nhello\r\n0\r\nRequest-Id: other\r\nModel: m\r\n\r\n" + hiddenRequest;
    forBothPaces(bytes, [](const Result &it) {
        REQUIRE(it.requests.size() == 2);
        CHECK(it.requests[0].headers == Headers{{"Host", "h"}, {"Transfer-Encoding", "chunked"}, {"Request-Id", "mine"}});
        CHECK(it.requests[0].body == "hello");
    });
}
