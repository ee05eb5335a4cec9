#include "turmericplank/net/clientconnection.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::net;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t EndlessBlockBytes = 64 * 1024;
constexpr std::size_t MaxEndlessBytes = 8 * 1024 * 1024; ///< far beyond every limit; keeps the test itself small if a limit is missing

/// Endpoint that writes the given bytes, one element for each read, and may then close the connection or write a piece again and
/// again until the connection is closed, at full speed or with pauses.
struct FakeEndpoint
{
    FakeEndpoint(asio::io_context &context, std::vector<std::string> responses, bool closesAtEnd, const std::string &endlessPiece, base::Duration pause)
        : acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , timer(context)
        , queuedResponses(std::move(responses))
        , endlessBlock(endlessPiece)
        , endlessPause(pause)
        , closes(closesAtEnd)
    {
        while (!endlessPiece.empty() && pause.count() == 0 && endlessBlock.size() < EndlessBlockBytes) {
            endlessBlock += endlessPiece;
        }
        acceptor.async_accept([this](boost::system::error_code ec, tcp::socket accepted) {
            if (!ec) {
                socket.emplace(std::move(accepted));
                queuedResponses.empty() && !endlessBlock.empty() ? writeEndlessly() : read();
            }
        });
    }

    void read()
    {
        socket->async_read_some(asio::buffer(buf), [this](boost::system::error_code ec, std::size_t n) {
            received.append(buf.data(), ec ? 0 : n);
            if (ec || next == queuedResponses.size()) {
                return;
            }
            asio::write(*socket, asio::buffer(queuedResponses[next++]));
            if (next == queuedResponses.size() && closes) {
                socket->close();
                return;
            }
            if (next == queuedResponses.size() && !endlessBlock.empty()) {
                writeEndlessly();
                return;
            }
            read();
        });
    }

    void writeEndlessly()
    {
        asio::async_write(*socket, asio::buffer(endlessBlock), [this](boost::system::error_code ec, std::size_t n) {
            endlessBytes += n;
            if (ec || endlessBytes >= MaxEndlessBytes) {
                socket->close();
                return;
            }
            timer.expires_after(endlessPause);
            timer.async_wait([this](boost::system::error_code) { writeEndlessly(); });
        });
    }

    base::Address address() const
    {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    tcp::acceptor acceptor;
    asio::steady_timer timer;
    std::optional<tcp::socket> socket;
    std::array<char, 4096> buf{};
    std::vector<std::string> queuedResponses;
    std::string endlessBlock;
    base::Duration endlessPause;
    std::string received;
    std::size_t endlessBytes = 0;
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

std::string makeResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends one request with the id "mine" and runs until it ends; responses with other ids are skipped.
Result sendRequest(std::vector<std::string> responses, bool closesAtEnd = false, base::Duration timeout = std::chrono::seconds(5),
                   const std::string &endlessPiece = {}, HeaderAction action = HeaderAction::Accept, base::Duration endlessPause = base::Duration(0))
{
    asio::io_context context;
    FakeEndpoint endpoint(context, std::move(responses), closesAtEnd, endlessPiece, endlessPause);
    Result result;
    ClientConnectionPointer connection;
    openConnection(context, endpoint.address(), base::now() + std::chrono::seconds(5),
                   [&](const tl::expected<ClientConnectionPointer, ConnectionError> &opened) {
                       REQUIRE(opened);
                       connection = *opened;
                       ClientRequest clientRequest;
                       clientRequest.request = {"POST", "/x", {{"Request-Id", "mine"}}, "question"};
                       clientRequest.deadline = base::now() + timeout;
                       clientRequest.onHeaders = [&](int status, const Headers &headers) {
                           result.status = status;
                           return header(headers, "Request-Id") == "mine" ? action : HeaderAction::Skip;
                       };
                       clientRequest.onChunk = [&](std::string_view chunk) {
                           result.body.append(chunk);
                       };
                       clientRequest.onEnd = [&](SendOutcome outcome) {
                           result.outcome = outcome;
                           result.isIdle = connection->isIdle();
                           context.stop();
                       };
                       connection->send(std::move(clientRequest));
                   });
    context.run();
    CHECK(endpoint.received.find("POST /x HTTP/1.1\r\n") == 0);
    CHECK(endpoint.received.find("Content-Length: 8\r\n\r\nquestion") != std::string::npos);
    connection->close();
    return result;
}

/// Sends one request to an endpoint that starts with some bytes and then writes a piece without end.
Result sendToEndlessEndpoint(const std::string &start, const std::string &piece, HeaderAction action = HeaderAction::Accept)
{
    return sendRequest({start}, false, std::chrono::seconds(5), piece, action);
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a complete response leaves the connection open")
{
    const auto it = sendRequest({makeResponse("mine", "hello")});
    CHECK((it.outcome == SendOutcome::Complete));
    CHECK(it.body == "hello");
    CHECK(it.isIdle);
}

TEST_CASE("a late response to another request is skipped")
{
    const auto it = sendRequest({makeResponse("other", "not yours") + makeResponse("mine", "hello")});
    CHECK((it.outcome == SendOutcome::Complete));
    CHECK(it.body == "hello");
}

TEST_CASE("extra bytes after a response close the connection")
{
    const auto it = sendRequest({makeResponse("mine", "hello") + "HTTP/1.1 200 OK\r\n"});
    CHECK((it.outcome == SendOutcome::Complete));
    CHECK(it.body == "hello");
    CHECK_FALSE(it.isIdle);
}

TEST_CASE("a chunked body and a body that ends with the connection are complete")
{
    const auto chunked = sendRequest({"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"});
    CHECK((chunked.outcome == SendOutcome::Complete));
    CHECK(chunked.body == "hello world");
    const auto unframed = sendRequest({"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\nhello"}, true);
    CHECK((unframed.outcome == SendOutcome::CompleteByClose));
    CHECK(unframed.body == "hello");
    CHECK_FALSE(unframed.isIdle);
}

TEST_CASE("truncated, timed-out and malformed responses are distinguished")
{
    CHECK((sendRequest({"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 10\r\n\r\nhello"}, true).outcome == SendOutcome::ConnectionLost));
    CHECK((sendRequest({"HTTP/1.1 200 OK\r\nRequ"}, true).outcome == SendOutcome::ConnectionLost));
    CHECK((sendRequest({"\x01\x02 nonsense\r\n\r\n"}).outcome == SendOutcome::Malformed));
    CHECK((sendRequest({}, false, std::chrono::milliseconds(50)).outcome == SendOutcome::TimedOut));
    CHECK((sendRequest({makeResponse("mine", "hello").substr(0, 40)}, false, std::chrono::milliseconds(200)).outcome == SendOutcome::TimedOut));
}

TEST_CASE("a failed connect reports null")
{
    asio::io_context context;
    base::Address unusedAddress;
    {
        tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        unusedAddress = {"127.0.0.1", acceptor.local_endpoint().port()};
    }
    bool isCalled = false;
    openConnection(context, unusedAddress, base::now() + std::chrono::seconds(2),
                   [&](const tl::expected<ClientConnectionPointer, ConnectionError> &connection) {
                       isCalled = true;
                       REQUIRE_FALSE(connection);
                       CHECK((connection.error() == ConnectionError::Refused));
                   });
    context.run();
    CHECK(isCalled);
}

TEST_CASE("an endless status line or header section is malformed")
{
    CHECK((sendToEndlessEndpoint("x", "x").outcome == SendOutcome::Malformed));
    CHECK((sendToEndlessEndpoint("\r\n", "\r\n").outcome == SendOutcome::Malformed));
    CHECK((sendToEndlessEndpoint("HTTP/1.1 200 O", "O").outcome == SendOutcome::Malformed));
    CHECK((sendToEndlessEndpoint("HTTP/1.1 200 OK\r\nRequest-Id: ", "x").outcome == SendOutcome::Malformed));
    CHECK((sendToEndlessEndpoint("HTTP/1.1 200 OK\r\n", "X-Field: x\r\n").outcome == SendOutcome::Malformed));
}

TEST_CASE("an endless chunk header or trailer section is malformed")
{
    CHECK((sendToEndlessEndpoint(chunkedHead, "0").outcome == SendOutcome::Malformed));
    CHECK((sendToEndlessEndpoint(chunkedHead + "5;", "x").outcome == SendOutcome::Malformed));
    CHECK((sendToEndlessEndpoint(chunkedHead + "0\r\n", "X-Field: x\r\n").outcome == SendOutcome::Malformed));
}

TEST_CASE("interim responses are read past, an endless series of them is malformed")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\nRequest-Id: mine\r\n\r\n";
    const auto it = sendRequest({interim + makeResponse("mine", "hello")});
    CHECK((it.outcome == SendOutcome::Complete));
    CHECK(it.status == 200);
    CHECK(it.body == "hello");
    CHECK((sendToEndlessEndpoint(interim, interim).outcome == SendOutcome::Malformed));
}

// Guards against a call that waits for its deadline although its endpoint has sent bytes that are no answer.
TEST_CASE("a status below those of HTTP ends the call at once, although the connection stays open")
{
    for (const std::string status : {"000", "001", "099"}) {
        CAPTURE(status);
        CHECK((sendRequest({"HTTP/1.1 " + status + " X\r\nRequest-Id: mine\r\nContent-Length: 2\r\n\r\nok"}).outcome == SendOutcome::Malformed));
    }
}

TEST_CASE("an endless body is malformed and is passed on only up to the limit")
{
    const std::string unframedHead = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\n";
    const std::string lengthHead = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 60000000\r\n\r\n";
    for (const auto &[head, piece] : {std::pair(unframedHead, "x"), std::pair(lengthHead, "x"), std::pair(chunkedHead, "5\r\nhello\r\n")}) {
        const auto collected = sendToEndlessEndpoint(head, piece);
        CHECK((collected.outcome == SendOutcome::Malformed));
        CHECK(collected.body.size() <= MaxBodyBytes);
        const auto streamed = sendToEndlessEndpoint(head, piece, HeaderAction::Stream);
        CHECK((streamed.outcome == SendOutcome::Malformed));
        CHECK(streamed.body.size() <= MaxStreamBytes);
    }
}

TEST_CASE("bodies up to the limits are complete")
{
    const std::string body(MaxBodyBytes, 'x');
    CHECK((sendRequest({makeResponse("mine", body)}).outcome == SendOutcome::Complete));
    CHECK((sendRequest({makeResponse("mine", body + "x")}).outcome == SendOutcome::Malformed));
    CHECK((sendRequest({makeResponse("mine", body + "x")}, false, std::chrono::seconds(5), {}, HeaderAction::Stream).outcome == SendOutcome::Complete));
}

TEST_CASE("an endless late response is malformed, or ends at the deadline")
{
    const std::string lateHead = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n";
    CHECK((sendToEndlessEndpoint(lateHead, "x").outcome == SendOutcome::Malformed));
    CHECK((sendToEndlessEndpoint(makeResponse("other", "late"), makeResponse("other", "late")).outcome == SendOutcome::Malformed));
    // The endpoint writes another piece after each short pause.
    const auto it = sendRequest({lateHead}, false, std::chrono::milliseconds(100), "x", HeaderAction::Accept, std::chrono::milliseconds(5));
    CHECK((it.outcome == SendOutcome::TimedOut));
}

TEST_CASE("endless bytes on an idle connection close it")
{
    asio::io_context context;
    FakeEndpoint endpoint(context, {}, false, "x", base::Duration(0));
    bool isClosed = false;
    ClientConnectionPointer connection;
    openConnection(context, endpoint.address(), base::now() + std::chrono::seconds(5),
                   [&](const tl::expected<ClientConnectionPointer, ConnectionError> &opened) {
                       REQUIRE(opened);
                       connection = *opened;
                       connection->setOnIdleClose([&] { isClosed = true; });
                   });
    context.run();
    CHECK(isClosed);
    CHECK_FALSE(connection->isIdle());
    CHECK(endpoint.endlessBytes < MaxEndlessBytes);
}
