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

constexpr std::uint16_t KeptPortOffset = 2200; ///< beyond the ports of all runs

/// An endpoint that keeps its connections and answers each call with bytes of a test.
class KeptEndpoint
{
public:
    /// @param respond gets the call's Request-Id; the response may be empty
    KeptEndpoint(boost::asio::io_context &context, std::uint16_t port, std::function<std::string(const std::string &)> respond)
        : m_respond(std::move(respond))
        , m_acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), port})
    {
        accept();
    }

    std::vector<std::string> received; ///< Request-Id of each call

private:
    struct Connection
    {
        boost::asio::ip::tcp::socket socket;
        std::array<char, 4096> buf{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
            if (!ec) {
                read(std::make_shared<Connection>(Connection{std::move(socket)}));
                accept();
            }
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        connection->socket.async_read_some(boost::asio::buffer(connection->buf), [this, connection](boost::system::error_code ec, std::size_t n) {
            if (ec) {
                return;
            }
            const std::string request(connection->buf.data(), n);
            constexpr std::string_view Name = "Request-Id: ";
            const auto begin = request.find(Name) + Name.size();
            received.push_back(request.substr(begin, request.find("\r\n", begin) - begin));
            boost::system::error_code ignored;
            boost::asio::write(connection->socket, boost::asio::buffer(m_respond(received.back())), ignored);
            read(connection);
        });
    }

    std::function<std::string(const std::string &)> m_respond;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

std::string refusal(int status, const std::string &id)
{
    const auto idLine = id.empty() ? std::string() : "Request-Id: " + id + "\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " Busy\r\n" + idLine + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string answer(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: x\r\nContent-Length: 4\r\n\r\ndone";
}

/// A site whose nearest endpoint keeps its connections.
struct KeptSite
{
    explicit KeptSite(std::function<std::string(const std::string &)> respond)
        : site(firstPort)
        , kept(site.context(), static_cast<std::uint16_t>(firstPort + KeptPortOffset), std::move(respond))
    {
        auto entry = site.a.entry();
        entry.id = base::EndpointId("kept");
        entry.address = {"127.0.0.1", static_cast<std::uint16_t>(firstPort + KeptPortOffset)};
        site.applyEntries({entry, site.b.entry()});
    }

    /// Status of a call that must not run twice.
    int call(const std::string &id)
    {
        return site.call({{"Request-Id", id}}, 5s, "/o/x")->status;
    }

    TestSite site;
    KeptEndpoint kept;
};

} // namespace

TEST_CASE("a refusal that an endpoint writes once more is not taken for that of the next call on the connection")
{
    for (const int status : {503, 429, 421}) {
        KeptSite it([status](const std::string &id) {
            // The second call is run; its own answer comes after the refusal of the first one.
            return id == "c1" ? refusal(status, "c1") : refusal(status, "c1") + answer(id);
        });
        CHECK(it.call("c1") != 200); // the other endpoint refuses it as well
        const auto others = it.site.b.received.size();
        CHECK(it.call("c2") == 200);
        CHECK(it.kept.received == std::vector<std::string>{"c1", "c2"});
        CHECK(it.site.b.received.size() == others);
    }
}

TEST_CASE("a refusal that names no call does not make a call that an endpoint runs go to another one, or be refused as not run")
{
    for (const int status : {503, 429, 421}) {
        KeptSite it([status](const std::string &id) { return id == "c1" ? refusal(status, "c1") : refusal(status, ""); });
        it.call("c1");
        const auto others = it.site.b.received.size();
        CHECK(it.call("c2") == 502);
        CHECK(it.kept.received == std::vector<std::string>{"c1", "c2"});
        CHECK(it.site.b.received.size() == others);
    }
}

TEST_CASE("a connection on which a refusal comes once more between two calls is not used again")
{
    KeptSite it([](const std::string &id) { return id == "c1" ? refusal(503, "c1") + refusal(503, "c1") : answer(id); });
    it.call("c1");
    CHECK(it.call("c2") == 200);
    CHECK(it.kept.received == std::vector<std::string>{"c1", "c2"});
}

TEST_CASE("a call that a second endpoint runs is not refused for a refusal of the first one that comes once more")
{
    KeptSite it([](const std::string &id) { return refusal(503, id) + (id == "c2" ? refusal(503, "c1") : ""); });
    it.site.b.scripts = {{{EngineStep::Kind::Accept}, {EngineStep::Kind::Pause, 30ms}, {EngineStep::Kind::Break}}};
    CHECK(it.call("c2") == 502);
    CHECK(it.site.b.received.size() == 1);
}
