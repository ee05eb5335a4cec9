#include "turmericplank/gateway/forwarder.hpp"

#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "testsite.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t RawPortOffset = 2100; ///< beyond the ports of all runs
// An endpoint counts as silent after 100 ms.
constexpr auto ShortInterval = std::chrono::milliseconds(5);
constexpr auto ShortPause = std::chrono::milliseconds(50);
constexpr auto PauseBeyondLimit = std::chrono::milliseconds(250);
constexpr auto LongPause = std::chrono::milliseconds(600);

/// Body of a stream whose first events come from one engine and the next ones from another.
std::string stream(int first, const std::string &firstEngine, int count, const std::string &engine = {})
{
    std::string text;
    for (int n = 1; n <= count; ++n) {
        text += "id: " + std::to_string(n) + "\ndata: " + (n <= first ? firstEngine : engine) + "\n\n";
    }
    return text;
}

/// An endpoint that answers each connection with the same bytes and closes it.
class RawEndpoint
{
public:
    RawEndpoint(boost::asio::io_context &context, std::uint16_t port, std::string response)
        : m_response(std::move(response))
        , m_acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), port})
    {
        accept();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
            if (!ec) {
                const auto connection = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
                connection->async_read_some(boost::asio::buffer(m_buf), [this, connection](boost::system::error_code, std::size_t) {
                    boost::system::error_code ignored;
                    boost::asio::write(*connection, boost::asio::buffer(m_response), ignored);
                    connection->close(ignored);
                });
                accept();
            }
        });
    }

    std::string m_response;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::array<char, 4096> m_buf{};
};

/// Losses of the content of a call that an endpoint answers with these bytes and the end of the connection.
std::size_t lossesAfter(const std::string &response)
{
    TestSite site(firstPort, 1);
    const auto port = static_cast<std::uint16_t>(firstPort + RawPortOffset);
    RawEndpoint raw(site.context(), port, "HTTP/1.1 " + response);
    auto entry = site.a.entry();
    entry.id = base::EndpointId("raw");
    entry.address = {"127.0.0.1", port};
    site.applyEntries({entry});
    site.call({{"Request-Id", "c1"}});
    Call call;
    call.host = "h";
    return site.crashHistory.lossCount(contentFingerprints(call, {"POST", "/r/x", {}, "question"}).front(), base::now());
}

} // namespace

TEST_CASE("a stream whose endpoint pauses is not cut off when the other endpoint rejects it")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + pause(LongPause) + events(2) + step(EngineStep::Kind::End)};
    site.b.scripts = {step(EngineStep::Kind::Reject)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(site.b.received == std::vector<std::string>{"2"});
    CHECK(exchange->isComplete);
    CHECK_FALSE(exchange->isCutOff);
    CHECK(exchange->body == stream(4, "a", 4));
}

TEST_CASE("a stream whose endpoint stays silent goes on at another endpoint, and only there")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + pause(LongPause) + pause(LongPause) + events(9)};
    site.b.scripts = {events(3) + step(EngineStep::Kind::End)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(exchange->isComplete);
    CHECK(exchange->body == stream(2, "a", 5, "b"));
    site.runFor(ShortPause);
    CHECK(site.a.abandoned == 1);
    CHECK(site.b.abandoned == 0);
}

TEST_CASE("a stream whose endpoint goes on before another one has begun stays there, and the other one is stopped")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + pause(PauseBeyondLimit) + events(2) + step(EngineStep::Kind::End)};
    site.b.scripts = {pause(LongPause) + events(9)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(exchange->isComplete);
    CHECK(exchange->body == stream(4, "a", 4));
    site.runFor(ShortPause);
    CHECK(site.b.received.size() == 1);
    CHECK(site.b.abandoned == 1);
}

TEST_CASE("a stream goes on at the other endpoint if its silent one breaks off meanwhile")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + pause(PauseBeyondLimit) + step(EngineStep::Kind::Break)};
    site.b.scripts = {pause(ShortPause) + events(2) + step(EngineStep::Kind::End)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(exchange->isComplete);
    CHECK(exchange->body == stream(2, "a", 4, "b"));
}

TEST_CASE("a stream stays at its silent endpoint if the other one breaks off")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + pause(LongPause) + events(2) + step(EngineStep::Kind::End)};
    site.b.scripts = {step(EngineStep::Kind::Break)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(exchange->isComplete);
    CHECK(exchange->body == stream(4, "a", 4));
}

TEST_CASE("a call without a first event is answered by whichever endpoint is first")
{
    TestSite site(firstPort);
    site.a.scripts = {pause(LongPause) + events(2) + step(EngineStep::Kind::End)};
    site.b.scripts = {step(EngineStep::Kind::Reject)};
    CHECK(site.call({{"Request-Id", "c1"}})->body == stream(2, "a", 2));
    site.a.scripts.push_back(pause(LongPause) + events(9));
    site.b.scripts.push_back(events(2) + step(EngineStep::Kind::End));
    CHECK(site.call({{"Request-Id", "c2"}})->body == stream(0, "a", 2, "b"));
}

TEST_CASE("a stream whose endpoint sends an event without end goes on at another endpoint")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + noise(std::string(16 * 1024, 'x'), ShortInterval)};
    site.b.scripts = {pause(ShortPause) + events(3) + step(EngineStep::Kind::End)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(exchange->isComplete);
    CHECK(exchange->body == stream(2, "a", 5, "b"));
    site.runFor(ShortPause);
    CHECK(site.a.abandoned == 1);
}

TEST_CASE("bytes that are no events don't keep a stream at its endpoint")
{
    for (const std::string bytes : {"x", "\n", ": x\n\n", "data: x\n\n", "id: 1\n\n"}) {
        TestSite site(firstPort);
        site.a.scripts = {events(2) + noise(bytes, ShortInterval)};
        site.b.scripts = {pause(ShortPause) + events(3) + step(EngineStep::Kind::End)};
        const auto exchange = site.call({{"Request-Id", "c1"}});
        CHECK(exchange->isComplete);
        CHECK(exchange->body == stream(2, "a", 5, "b"));
        site.runFor(ShortPause);
        CHECK(site.a.abandoned == 1);
        CHECK(site.b.abandoned == 0);
    }
}

TEST_CASE("bytes that are no events don't keep a stream that has not begun at its endpoint")
{
    TestSite site(firstPort);
    site.a.scripts = {noise(": x\n\n", ShortInterval)};
    site.b.scripts = {pause(ShortPause) + events(3) + step(EngineStep::Kind::End)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(exchange->isComplete);
    CHECK(exchange->body == stream(0, "a", 3, "b"));
}

TEST_CASE("a caller that leaves while two endpoints have its call stops both")
{
    TestSite site(firstPort);
    site.a.scripts = {events(1) + pause(LongPause) + pause(LongPause) + events(9)};
    site.b.scripts = {pause(LongPause) + pause(LongPause) + events(9)};
    const auto exchange = site.call({{"Request-Id", "c1"}}, PauseBeyondLimit);
    REQUIRE(exchange->onClosed);
    std::exchange(exchange->onClosed, nullptr)();
    site.runFor(ShortPause);
    CHECK(site.a.abandoned == 1);
    CHECK(site.b.abandoned == 1);
    CHECK(site.callsInProgress() == 0);
}

TEST_CASE("a stream goes on at the other endpoint if its silent one ends in the middle of an event")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + step(EngineStep::Kind::HalfEvent) + pause(PauseBeyondLimit) + step(EngineStep::Kind::End)};
    site.b.scripts = {pause(LongPause) + events(2) + step(EngineStep::Kind::End)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(exchange->isComplete);
    CHECK(exchange->body == stream(2, "a", 4, "b"));
    CHECK(site.b.abandoned == 0);
}

TEST_CASE("a stream stays at its silent endpoint if the other one ends in the middle of an event")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + pause(LongPause) + events(2) + step(EngineStep::Kind::End)};
    site.b.scripts = {step(EngineStep::Kind::Accept) + step(EngineStep::Kind::HalfEvent) + step(EngineStep::Kind::Break)};
    CHECK(site.call({{"Request-Id", "c1"}})->body == stream(4, "a", 4));
}

TEST_CASE("a stream with sends left keeps its silent endpoint while the other one is silent as well")
{
    TestSite site(firstPort, 3);
    site.a.scripts = {events(2) + pause(LongPause) + events(2) + step(EngineStep::Kind::End)};
    site.b.scripts = {pause(PauseBeyondLimit) + step(EngineStep::Kind::Reject)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(site.a.received.size() == 1);
    CHECK(exchange->body == stream(4, "a", 4));
}

TEST_CASE("an endpoint that has accepted a stream is the only one that has it, even before its first event")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + pause(LongPause) + pause(LongPause) + events(9)};
    site.b.scripts = {step(EngineStep::Kind::Accept) + pause(LongPause) + events(2) + step(EngineStep::Kind::End)};
    const auto exchange = site.call({{"Request-Id", "c1"}}, LongPause);
    CHECK_FALSE(exchange->hasEnded());
    CHECK(site.a.abandoned == 1);
    CHECK(site.b.abandoned == 0);
    site.runFor(LongPause);
    CHECK(exchange->body == stream(2, "a", 4, "b"));
}

TEST_CASE("a stream does not go on within an answer at an endpoint of another software version")
{
    TestSite site(firstPort);
    site.applyEntries({site.a.entry("v1"), site.b.entry("v2")});
    site.a.scripts = {events(2) + pause(ShortPause) + step(EngineStep::Kind::Break)};
    site.b.scripts = {events(9) + step(EngineStep::Kind::End)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(exchange->isCutOff);
    CHECK(exchange->body == stream(2, "a", 2));
    CHECK(site.b.received.empty());
}

TEST_CASE("a silent endpoint's stream is not tried at an endpoint of another software version")
{
    TestSite site(firstPort);
    site.applyEntries({site.a.entry("v1"), site.b.entry("v2")});
    site.a.scripts = {events(2) + pause(LongPause) + events(2) + step(EngineStep::Kind::End)};
    CHECK(site.call({{"Request-Id", "c1"}})->body == stream(4, "a", 4));
    CHECK(site.b.received.empty());
}

TEST_CASE("a call whose endpoint fails before the first event may go to an endpoint of another software version")
{
    TestSite site(firstPort);
    site.applyEntries({site.a.entry("v1"), site.b.entry("v2")});
    site.a.scripts = {step(EngineStep::Kind::Break)};
    site.b.scripts = {events(2) + step(EngineStep::Kind::End)};
    CHECK(site.call({{"Request-Id", "c1"}})->body == stream(0, "a", 2, "b"));
}

TEST_CASE("a stream that its caller resumes goes on at the software version that began it")
{
    TestSite site(firstPort);
    site.applyEntries({site.b.entry("v1")});
    site.b.scripts = {events(2) + pause(ShortPause) + step(EngineStep::Kind::Break), events(2) + step(EngineStep::Kind::End)};
    CHECK(site.call({{"Request-Id", "c1"}})->isCutOff);
    site.applyEntries({site.a.entry("v2"), site.b.entry("v1")}); // the closer endpoint has the other version
    site.a.scripts = {events(2) + step(EngineStep::Kind::End)};
    const auto exchange = site.call({{"Request-Id", "c2"}, {"Last-Event-Id", "2"}, {"Resumes", "c1"}});
    CHECK(exchange->isComplete);
    CHECK(site.a.received.empty());
    CHECK(site.b.received == std::vector<std::string>{"", "2"});
}

TEST_CASE("a stream whose software version is unknown or gone is not resumed while another version serves")
{
    TestSite site(firstPort);
    site.applyEntries({site.a.entry("v1"), site.b.entry("v2")});
    site.a.scripts = {events(2) + pause(ShortPause) + step(EngineStep::Kind::Break), events(2)};
    site.b.scripts = {events(2) + step(EngineStep::Kind::End)};
    const auto unknown = site.call({{"Request-Id", "c1"}, {"Last-Event-Id", "2"}, {"Resumes", "c0"}});
    CHECK(unknown->isComplete);
    CHECK(unknown->status == 503);
    CHECK(site.call({{"Request-Id", "c1b"}, {"Last-Event-Id", "2"}})->status == 503);
    CHECK(site.a.received.empty());
    CHECK(site.b.received.empty());
    CHECK(site.call({{"Request-Id", "c2"}})->isCutOff);
    site.applyEntries({site.b.entry("v2")});
    CHECK(site.call({{"Request-Id", "c3"}, {"Last-Event-Id", "2"}, {"Resumes", "c2"}})->status == 503);
    CHECK(site.b.received.empty());
}

TEST_CASE("the version of a stream is remembered for the calls that resume it, which have later deadlines than its first call")
{
    TestSite site(firstPort);
    site.applyEntries({site.a.entry("v1"), site.b.entry("v2")});
    site.a.scripts = {events(2) + pause(ShortPause) + step(EngineStep::Kind::Break), events(2) + step(EngineStep::Kind::End)};
    const auto begunAt = base::now();
    CHECK(site.call({{"Request-Id", "c1"}})->isCutOff);
    site.runFor(500ms);
    const auto resumedAt = base::now();
    CHECK(site.call({{"Request-Id", "c2"}, {"Last-Event-Id", "2"}, {"Resumes", "c1"}})->isComplete);
    const auto callTime = 4s + ForwarderOptions().originMargin;
    REQUIRE(resumedAt > begunAt + 400ms);
    site.streamOrigins().expire(begunAt + callTime + 400ms);
    CHECK(site.streamOrigins().find(forwarding::callDigest("c1")) != nullptr);
}

TEST_CASE("while one software version serves, a stream of an unknown one is resumed")
{
    TestSite site(firstPort);
    site.a.scripts = {events(2) + step(EngineStep::Kind::End)};
    CHECK(site.call({{"Request-Id", "c1"}, {"Last-Event-Id", "2"}, {"Resumes", "c0"}})->isComplete);
    CHECK(site.a.received == std::vector<std::string>{"2"});
}

TEST_CASE("a stream resumed at the only software version does not go on at one that appears while the call is in progress")
{
    TestSite site(firstPort);
    site.applyEntries({site.a.entry("v1")});
    site.a.scripts = {pause(ShortPause) + step(EngineStep::Kind::Break)};
    site.b.scripts = {events(2) + step(EngineStep::Kind::End)};
    const auto exchange = site.begin({{"Request-Id", "c1"}, {"Last-Event-Id", "2"}, {"Resumes", "c0"}});
    site.runFor(ShortInterval);
    site.applyEntries({site.a.entry("v1"), site.b.entry("v2")});
    site.runFor(LongPause);
    CHECK(site.a.received == std::vector<std::string>{"2"});
    CHECK(site.b.received.empty());
    CHECK(exchange->status != 200);
}

TEST_CASE("a stream of an unknown software version is not resumed while two are listed, however long ago the entries were read")
{
    TestSite site(firstPort);
    site.applyEntries({site.a.entry("v1"), site.b.entry("v2")});
    site.a.scripts = {events(2) + step(EngineStep::Kind::End)};
    site.streamOrigins().expire(base::now() + 61s); // as if the store had been away for a minute
    CHECK(site.call({{"Request-Id", "c1"}, {"Last-Event-Id", "2"}, {"Resumes", "c0"}})->status == 503);
    CHECK(site.a.received.empty());
    CHECK(site.b.received.empty());
}

TEST_CASE("a stream whose software version only another daemon knows is resumed there")
{
    TestSite site(firstPort);
    site.applyEntries({site.a.entry("v2"), site.b.entry("v1")});
    site.remoteOrigins[forwarding::callDigest("c0")] = "v1";
    site.b.scripts = {events(2) + step(EngineStep::Kind::End)};
    CHECK(site.call({{"Request-Id", "c1"}, {"Last-Event-Id", "2"}, {"Resumes", "c0"}})->isComplete);
    CHECK(site.a.received.empty());
}

TEST_CASE("a call whose endpoint leaves while its connection is being opened is sent elsewhere")
{
    TestSite site(firstPort);
    site.b.scripts = {events(2) + step(EngineStep::Kind::End)};
    const auto exchange = site.begin({{"Request-Id", "c1"}}); // connects to the closer endpoint
    auto leaving = site.a.entry();
    leaving.isLeaving = true;
    site.applyEntries({leaving, site.b.entry()});
    site.runFor(ShortPause);
    CHECK(site.a.received.empty());
    CHECK(exchange->body == stream(0, "a", 2, "b"));
}

TEST_CASE("a stream does not go on at an endpoint that starts again with another software version while its connection is being opened")
{
    TestSite site(firstPort);
    site.applyEntries({site.a.entry("v1"), site.b.entry("v2")});
    site.remoteOrigins[forwarding::callDigest("c0")] = "v1";
    site.a.scripts = {events(2) + step(EngineStep::Kind::End)};
    const auto exchange = site.begin({{"Request-Id", "c1"}, {"Last-Event-Id", "2"}, {"Resumes", "c0"}});
    auto restarted = site.a.entry("v2");
    restarted.incarnation = base::Incarnation(2);
    site.applyEntries({restarted, site.b.entry("v2")});
    site.runFor(ShortPause);
    CHECK(site.a.received.empty());
    CHECK(site.b.received.empty());
    CHECK(exchange->status != 200);
}

TEST_CASE("a content that endpoints were lost with is refused as not run, tried again later, and served once it is answered")
{
    TestSite site(firstPort);
    Call call;
    call.host = "h";
    const auto content = contentFingerprints(call, {"POST", "/r/x", {}, "question"}).front();
    for (std::uint64_t n = 1; n <= 3; ++n) {
        site.crashHistory.recordLoss(content, {base::EndpointId("x"), base::Incarnation(n)}, base::now());
    }
    const auto refused = site.call({{"Request-Id", "c1"}});
    CHECK(refused->status == 503);
    CHECK(refused->body == "crashes_endpoints");
    CHECK(site.a.received.empty());
    site.a.scripts = {events(2) + step(EngineStep::Kind::End), events(2) + step(EngineStep::Kind::End)};
    site.runFor(PauseBeyondLimit);
    CHECK(site.call({{"Request-Id", "c2"}})->body == stream(2, "a", 2));
    CHECK(site.call({{"Request-Id", "c3"}})->body == stream(2, "a", 2));
}

TEST_CASE("a trial that loses its endpoint is not sent to another one")
{
    TestSite site(firstPort);
    Call call;
    call.host = "h";
    const auto content = contentFingerprints(call, {"POST", "/r/x", {}, "question"}).front();
    for (std::uint64_t n = 1; n <= 3; ++n) {
        site.crashHistory.recordLoss(content, {base::EndpointId("x"), base::Incarnation(n)}, base::now());
    }
    site.a.scripts = {step(EngineStep::Kind::Accept) + step(EngineStep::Kind::Break)};
    site.runFor(PauseBeyondLimit);
    CHECK(site.call({{"Request-Id", "c1"}})->status == 502);
    CHECK(site.a.received.size() == 1);
    CHECK(site.b.received.empty());
}

TEST_CASE("a stream that its endpoint had been answering for a while is not blamed when the endpoint is lost")
{
    Call call;
    call.host = "h";
    const auto content = contentFingerprints(call, {"POST", "/r/x", {}, "question"}).front();
    std::vector<EngineStep> longAnswer;
    for (int n = 0; n < 14; ++n) {
        longAnswer = longAnswer + events(1) + pause(ShortPause);
    }
    TestSite site(firstPort, 1);
    site.a.scripts = {step(EngineStep::Kind::Accept) + step(EngineStep::Kind::Break)};
    site.b.scripts = {longAnswer + step(EngineStep::Kind::Break)};
    CHECK(site.call({{"Request-Id", "c1"}})->status == 502);
    CHECK(site.crashHistory.lossCount(content, base::now()) == 1);
    // The other engine is preferred after the loss.
    CHECK(site.call({{"Request-Id", "c2"}})->isCutOff);
    CHECK(site.b.received.size() == 1);
    CHECK(site.crashHistory.lossCount(content, base::now()) == 1);
}

TEST_CASE("a stream without framing that ends before its first event or inside an event is a loss, an answer or a rejection without framing is not")
{
    const std::string head = "200 OK\r\nRequest-Id: c1\r\nServer-Seal: x\r\n\r\n";
    CHECK(lossesAfter(head) == 1);
    CHECK(lossesAfter(head + "id: 1\n") == 1);
    CHECK(lossesAfter(head + "id: 1\ndata: x\n\n") == 0);
    CHECK(lossesAfter("503 Busy\r\nRequest-Id: c1\r\nNot-Executed: 1\r\n\r\n") == 0);
    CHECK(lossesAfter("500 Failed\r\nRequest-Id: c1\r\nServer-Seal: x\r\n\r\nfailed") == 0);
}

TEST_CASE("a call whose target has a query is tried again as well, and a call with two refused parts is not")
{
    TestSite site(firstPort);
    Call call;
    call.host = "h";
    const auto refuse = [&site](const std::vector<requests::Fingerprint> &contents) {
        for (const auto it : contents) {
            for (std::uint64_t n = 1; n <= 3; ++n) {
                site.crashHistory.recordLoss(it, {base::EndpointId("x"), base::Incarnation(n)}, base::now());
            }
        }
    };
    const std::string target = "/r/x?page=1";
    refuse(contentFingerprints(call, {"POST", target, {}, "question"}));
    refuse(sharedPartFingerprints(base::ServiceName("s"), {{1, 10}, {2, 10}, {3, 10}}));
    site.a.scripts = {events(2) + step(EngineStep::Kind::End), events(2) + step(EngineStep::Kind::End)};
    CHECK(site.call({{"Request-Id", "c1"}}, std::chrono::seconds(5), target)->body == "crashes_endpoints");
    site.runFor(PauseBeyondLimit);
    CHECK(site.call({{"Request-Id", "c2"}, {"Prompt", "1 2 3"}})->body == "crashes_endpoints");
    CHECK(site.call({{"Request-Id", "c3"}}, std::chrono::seconds(5), target)->body == stream(2, "a", 2));
    CHECK(site.call({{"Request-Id", "c4"}, {"Prompt", "1 4 5"}})->body == stream(2, "a", 2));
}
