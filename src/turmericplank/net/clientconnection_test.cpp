#include "turmericplank/net/clientconnection.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::net;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// An endpoint that writes given bytes after each request, and then may close.
struct Endpoint
{
    Endpoint(asio::io_context &context, std::vector<std::string> answers, bool closesAtEnd)
        : acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , replies(std::move(answers))
        , closes(closesAtEnd)
    {
        acceptor.async_accept([this](boost::system::error_code ec, tcp::socket accepted) {
            if (!ec) {
                socket.emplace(std::move(accepted));
                read();
            }
        });
    }

    void read()
    {
        socket->async_read_some(asio::buffer(buf), [this](boost::system::error_code ec, std::size_t n) {
            received.append(buf.data(), ec ? 0 : n);
            if (ec || next == replies.size()) {
                return;
            }
            asio::write(*socket, asio::buffer(replies[next++]));
            if (next == replies.size() && closes) {
                socket->close();
                return;
            }
            read();
        });
    }

    base::Address address() const
    {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    tcp::acceptor acceptor;
    std::optional<tcp::socket> socket;
    std::array<char, 4096> buf{};
    std::vector<std::string> replies;
    std::string received;
    std::size_t next = 0;
    bool closes = false;
};

struct Result
{
    std::optional<SendOutcome> outcome;
    int status = 0;
    std::string body;
    bool isIdle = false;
};

std::string answer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends one request named "mine" and runs until it ends; answers to others are skipped.
Result sendOne(std::vector<std::string> answers, bool closesAtEnd = false, base::Duration patience = std::chrono::seconds(5))
{
    asio::io_context context;
    Endpoint endpoint(context, std::move(answers), closesAtEnd);
    Result result;
    ClientConnectionPointer connection;
    openConnection(context, endpoint.address(), base::now() + std::chrono::seconds(5), [&](const ClientConnectionPointer &opened) {
        REQUIRE(opened);
        connection = opened;
        ClientRequest send;
        send.request = {"POST", "/x", {{"Request-Id", "mine"}}, "question"};
        send.deadline = base::now() + patience;
        send.onHeaders = [&](int status, const Headers &headers) {
            result.status = status;
            return header(headers, "Request-Id") == "mine" ? HeaderAction::Accept : HeaderAction::Skip;
        };
        send.onChunk = [&](std::string_view piece) {
            result.body.append(piece);
        };
        send.onEnd = [&](SendOutcome outcome) {
            result.outcome = outcome;
            result.isIdle = connection->isIdle();
            context.stop();
        };
        connection->send(std::move(send));
    });
    context.run();
    CHECK(endpoint.received.find("POST /x HTTP/1.1\r\n") == 0);
    CHECK(endpoint.received.find("Content-Length: 8\r\n\r\nquestion") != std::string::npos);
    connection->close();
    return result;
}

} // namespace

TEST_CASE("a whole answer leaves the connection open")
{
    const auto it = sendOne({answer("mine", "hello")});
    CHECK((it.outcome == SendOutcome::Complete));
    CHECK(it.body == "hello");
    CHECK(it.isIdle);
}

TEST_CASE("a late answer to another request is read past")
{
    const auto it = sendOne({answer("other", "not yours") + answer("mine", "hello")});
    CHECK((it.outcome == SendOutcome::Complete));
    CHECK(it.body == "hello");
}

TEST_CASE("bytes behind an answer end the connection")
{
    const auto it = sendOne({answer("mine", "hello") + "HTTP/1.1 200 OK\r\n"});
    CHECK((it.outcome == SendOutcome::Complete));
    CHECK(it.body == "hello");
    CHECK_FALSE(it.isIdle);
}

TEST_CASE("chunks, and a body that ends with the connection, are whole")
{
    const auto chunked = sendOne({"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"});
    CHECK((chunked.outcome == SendOutcome::Complete));
    CHECK(chunked.body == "hello world");
    const auto unframed = sendOne({"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\nhello"}, true);
    CHECK((unframed.outcome == SendOutcome::Complete));
    CHECK(unframed.body == "hello");
    CHECK_FALSE(unframed.isIdle);
}

TEST_CASE("what is cut, silent or no answer is told apart")
{
    CHECK((sendOne({"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 10\r\n\r\nhello"}, true).outcome == SendOutcome::ConnectionLost));
    CHECK((sendOne({"HTTP/1.1 200 OK\r\nRequ"}, true).outcome == SendOutcome::ConnectionLost));
    CHECK((sendOne({"\x01\x02 nonsense\r\n\r\n"}).outcome == SendOutcome::Malformed));
    CHECK((sendOne({}, false, std::chrono::milliseconds(50)).outcome == SendOutcome::TimedOut));
    CHECK((sendOne({answer("mine", "hello").substr(0, 40)}, false, std::chrono::milliseconds(200)).outcome == SendOutcome::TimedOut));
}

TEST_CASE("nobody listens")
{
    asio::io_context context;
    base::Address nowhere;
    {
        tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        nowhere = {"127.0.0.1", acceptor.local_endpoint().port()};
    }
    bool isCalled = false;
    openConnection(context, nowhere, base::now() + std::chrono::seconds(2), [&](const ClientConnectionPointer &connection) {
        isCalled = true;
        CHECK(connection == nullptr);
    });
    context.run();
    CHECK(isCalled);
}
