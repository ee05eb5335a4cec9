#include "turmericplank/gateway/streamoriginexchange.hpp"

#include <algorithm>
#include <utility>

#include <doctest/doctest.h>

#include "turmericplank/gateway/streamoriginsmessage.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace std::chrono_literals;

namespace {

const base::ServiceName chat("chat");

/// Keeps what is sent to other daemons.
class RecordingMesh final : public peer::Mesh
{
public:
    struct Message
    {
        base::Address to;
        peer::PeerCall call;
    };

    void handle(const std::string &kind, std::function<void(base::DaemonId, std::string, peer::PeerResponder)> handler) override
    {
        m_handlers[kind] = std::move(handler);
    }

    void call(const base::Address &to, peer::PeerCall call) override
    {
        if (isBroken && call.onEnd) {
            call.onEnd(tl::unexpected(peer::PeerFailure::NotProcessed));
        } else if (call.kind == "gateway/origins") {
            messages.push_back({to, std::move(call)});
        }
    }

    void beginShutdown() override
    {
    }

    std::uint64_t bytesTransferred() const override
    {
        return 0;
    }

    /// Lets a message of another daemon arrive.
    void receive(const std::string &kind, const std::string &body)
    {
        m_handlers.at(kind)(base::DaemonId("other"), body, {[](const std::string &) {}, [] {}, [] {}, {}, {}, {}});
    }

    std::vector<Message> messages; ///< about origins
    bool isBroken = false; ///< no message can be sent, and its sender is told at once

private:
    std::map<std::string, std::function<void(base::DaemonId, std::string, peer::PeerResponder)>> m_handlers;
};

/// A daemon without a store, and as many others as it has heard.
class Site
{
public:
    explicit Site(int others)
        : peers(m_context, makeSettings(), makeTable(), mesh, makeCallbacks())
        , exchange(m_context, origins, mesh, peers, makeTable(), true)
    {
        for (int n = 1; n <= others; ++n) {
            hear(n, 1);
        }
        origins.noteVersions({{chat, {"v1"}}}, base::now());
    }

    void hear(int number, std::uint64_t incarnation)
    {
        PeerStatus status;
        status.from = base::DaemonId(std::to_string(number));
        status.peerAddress = addressOf(number);
        status.zone = base::ZoneName("z");
        status.incarnation = base::Incarnation(incarnation);
        status.isReady = true;
        mesh.receive("gateway/notice", encode(status));
    }

    void record(forwarding::CallDigest call)
    {
        const auto now = base::now();
        origins.record(chat, {call, "v1", now + 60s}, now);
    }

    void runFor(base::Duration time)
    {
        m_context.run_for(time);
    }

    /// Calls whose origins were sent to each address since the last time.
    std::map<base::Address, std::vector<forwarding::CallDigest>> takeSent()
    {
        std::map<base::Address, std::vector<forwarding::CallDigest>> sent;
        for (const auto &it : std::exchange(mesh.messages, {})) {
            const auto message = decodeStreamOrigins(it.call.body, base::now());
            REQUIRE(message);
            for (const auto &origin : message->origins) {
                sent[it.to].push_back(origin.call);
            }
            std::ranges::sort(sent[it.to]);
        }
        return sent;
    }

    static base::Address addressOf(int number)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(number)};
    }

    RecordingMesh mesh;
    forwarding::StreamOrigins origins;

private:
    static Settings makeSettings()
    {
        Settings settings;
        settings.id = base::DaemonId("0");
        settings.zone = base::ZoneName("z");
        return settings;
    }

    static store::Table makeTable()
    {
        const store::TableError unavailable{store::TableFailure::Unavailable, {}};
        return {[unavailable](const auto &, const auto &onDone) { onDone(store::WriteResult(tl::unexpected(unavailable))); },
                [unavailable](const auto &, const auto &onDone) {
                    onDone(store::ReadResult(tl::unexpected(unavailable)));
                }};
    }

    Peers::Callbacks makeCallbacks()
    {
        Peers::Callbacks callbacks;
        callbacks.fillStatus = [](PeerStatus &) {
        };
        callbacks.mayActAsHolder = [] {
            return false;
        };
        callbacks.demand = [] {
            return placement::DemandCounters();
        };
        callbacks.onPeerHeard = [this](const base::DaemonId &id) {
            exchange.notePeerHeard(id);
        };
        return callbacks;
    }

    boost::asio::io_context m_context;

public:
    Peers peers;
    StreamOriginExchange exchange;
};

constexpr auto CopyTime = 700ms; ///< two copy intervals, and a margin

} // namespace

TEST_CASE("origins of a service with one version are copied once, to two daemons")
{
    Site site(4);
    site.record(1);
    site.record(2);
    site.runFor(CopyTime);
    const auto sent = site.takeSent();
    CHECK(sent.size() == 2);
    for (const auto &[to, calls] : sent) {
        CHECK(calls == std::vector<forwarding::CallDigest>{1, 2});
    }
    site.record(3);
    site.runFor(CopyTime);
    for (const auto &[to, calls] : site.takeSent()) {
        CHECK(sent.contains(to));
        CHECK(calls == std::vector<forwarding::CallDigest>{3});
    }
    site.runFor(CopyTime);
    CHECK(site.takeSent().empty());
}

TEST_CASE("copies are sent again as a whole if a message did not arrive, and to a daemon that has started again")
{
    Site site(2);
    site.record(1);
    site.runFor(CopyTime);
    const auto messages = site.mesh.messages;
    REQUIRE(site.takeSent().size() == 2);
    site.record(2);
    SUBCASE("a message did not arrive")
    {
        for (const auto &it : messages) {
            it.to == Site::addressOf(1) ? it.call.onEnd(tl::unexpected(peer::PeerFailure::OutcomeUnknown)) : it.call.onEnd({});
        }
    }
    SUBCASE("a daemon has started again")
    {
        site.hear(1, 2);
    }
    site.runFor(CopyTime);
    auto sent = site.takeSent();
    CHECK(sent[Site::addressOf(1)] == std::vector<forwarding::CallDigest>{1, 2});
    CHECK(sent[Site::addressOf(2)] == std::vector<forwarding::CallDigest>{2});
}

// Guards against a list of daemons that changes while it is walked through.
TEST_CASE("copies that fail while they are being sent are sent again to each daemon")
{
    Site site(3);
    site.mesh.isBroken = true;
    site.record(1);
    site.runFor(CopyTime);
    CHECK(site.takeSent().empty());
    site.mesh.isBroken = false;
    site.record(2);
    site.runFor(CopyTime);
    const auto sent = site.takeSent();
    CHECK(sent.size() == 2);
    for (const auto &[to, calls] : sent) {
        CHECK(calls == std::vector<forwarding::CallDigest>{1, 2});
    }
}

TEST_CASE("a daemon that becomes a backup gets all origins, also those that were recorded while there was none")
{
    Site site(0);
    site.record(1);
    site.runFor(CopyTime);
    CHECK(site.takeSent().empty());
    site.hear(1, 1);
    site.runFor(CopyTime);
    CHECK(site.takeSent()[Site::addressOf(1)] == std::vector<forwarding::CallDigest>{1});
}

TEST_CASE("once a service has several versions, all daemons are told, once each")
{
    Site site(4);
    site.record(1);
    site.runFor(CopyTime);
    CHECK(site.takeSent().size() == 2);
    site.origins.noteVersions({{chat, {"v1", "v2"}}}, base::now());
    site.record(2);
    site.runFor(CopyTime);
    const auto sent = site.takeSent();
    CHECK(sent.size() == 4);
    for (const auto &[to, calls] : sent) {
        CHECK(calls == std::vector<forwarding::CallDigest>{1, 2});
    }
}
