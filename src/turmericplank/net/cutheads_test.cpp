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

struct Cut
{
    std::string before; ///< written first, and read by the daemon before the rest
    std::string text; ///< the part of the response
    bool isReset = false;
};

struct Result
{
    SendOutcome outcome = SendOutcome::Complete;
    std::string body;
};

/// The outcome of a request whose endpoint writes a part of a response and ends the connection.
Result sendTo(const Cut &cut)
{
    asio::io_context context;
    RawEndpoint endpoint(context);
    ClientConnectionPointer connection;
    openConnection(context, endpoint.address(), base::now() + std::chrono::seconds(5),
                   [&](const tl::expected<ClientConnectionPointer, ConnectionError> &opened) { connection = opened.value_or(nullptr); });
    REQUIRE(endpoint.runUntil([&] { return connection != nullptr; }));
    std::optional<SendOutcome> outcome;
    Result result;
    ClientRequest request;
    request.request = {"POST", "/x", {{"Request-Id", "mine"}}, "question"};
    request.deadline = base::now() + std::chrono::seconds(10);
    request.onHeaders = [](int, const Headers &headers) {
        return header(headers, "Request-Id") == "mine" ? HeaderAction::Accept : HeaderAction::Skip;
    };
    request.onChunk = [&](std::string_view chunk) {
        result.body.append(chunk);
    };
    request.onEnd = [&](SendOutcome it) {
        outcome = it;
    };
    connection->send(std::move(request));
    REQUIRE(endpoint.readUntil(0, [&] { return endpoint.received(0).ends_with("question"); }));
    if (!cut.before.empty()) {
        endpoint.write(0, cut.before);
        context.restart();
        context.run_for(std::chrono::milliseconds(1));
    }
    endpoint.write(0, cut.text);
    cut.isReset ? endpoint.reset(0) : endpoint.close(0);
    REQUIRE(endpoint.runUntil([&] { return outcome.has_value(); }));
    connection->close();
    context.restart();
    context.poll();
    result.outcome = *outcome;
    return result;
}

const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n";
const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string late = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 4\r\n\r\nlate";

} // namespace

// Guards against a 200 with an empty or short body that is framed as whole, when an endpoint stops in the middle of the head of its answer.
TEST_CASE("a response whose head is cut anywhere is not complete")
{
    for (const std::string &framing : {std::string("Content-Length: 5\r\n\r\n"), std::string("Transfer-Encoding: chunked\r\n\r\n"), std::string("\r\n")}) {
        const auto head = start + framing;
        for (const auto &before : {std::string(), interim, late}) {
            for (std::size_t n = 0; n < head.size(); ++n) {
                CAPTURE(head);
                CAPTURE(before);
                CAPTURE(n);
                const auto whole = sendTo({{}, before + head.substr(0, n), false});
                CHECK_FALSE(isComplete(whole.outcome));
                CHECK(whole.body.empty());
                CHECK_FALSE(isComplete(sendTo({before, head.substr(0, n), false}).outcome));
                CHECK_FALSE(isComplete(sendTo({before + head.substr(0, n / 2), head.substr(n / 2, n - n / 2), false}).outcome));
                CHECK_FALSE(isComplete(sendTo({{}, before + head.substr(0, n), true}).outcome));
            }
        }
    }
}

TEST_CASE("a whole head without a body is complete only if nothing frames the body and the connection ends in order")
{
    CHECK((sendTo({{}, start + "\r\n", false}).outcome == SendOutcome::CompleteByClose));
    CHECK_FALSE(isComplete(sendTo({{}, start + "\r\n", true}).outcome));
    CHECK_FALSE(isComplete(sendTo({{}, start + "Content-Length: 5\r\n\r\n", false}).outcome));
    CHECK_FALSE(isComplete(sendTo({{}, start + "Transfer-Encoding: chunked\r\n\r\n", false}).outcome));
}
