#include "turmericplank/gateway/peerforward.hpp"

#include <map>
#include <sstream>

#include "testfleet.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

using Results = std::vector<std::shared_ptr<TestFleet::Result>>;

constexpr std::size_t LostDaemon = 0; ///< has no contact to endpoints
constexpr auto StartTime = 900ms; ///< until all daemons know each other and the endpoints
constexpr auto EndTime = 2300ms; ///< until all calls have ended, which have 2 s
constexpr auto MaxTransitTime = 150ms; ///< of a call between processes that share one thread with all others
constexpr const char *ForwardKind = "gateway/forward";

bool allInContact(std::size_t, std::size_t)
{
    return true;
}

/// Daemons and endpoints, and how often each call has reached an endpoint.
class Site
{
public:
    Site(std::size_t daemonCount, std::size_t endpointCount)
        : fleet(daemonCount, endpointCount, allInContact)
    {
        for (auto &it : fleet.endpoints) {
            it->onReceived = [this](const net::HttpRequest &request, std::size_t) {
                const std::string id(header(request.headers, "Request-Id"));
                ++received[id];
                if (onReceived) {
                    onReceived(request);
                }
            };
        }
        fleet.runFor(StartTime);
    }

    /// Takes the contact to all endpoints away from a daemon, and sends it calls until it knows.
    void cutOff(std::size_t daemon)
    {
        fleet.setLinks(daemon, LinkState::RefusingNew);
        runUntilEnded(send(8, daemon, "/r/x"));
        received.clear();
    }

    std::size_t receivedTotal() const
    {
        std::size_t n = 0;
        for (const auto &[id, count] : received) {
            n += count;
        }
        return n;
    }

    std::size_t timesReceived(const TestFleet::Result &call) const
    {
        const auto it = received.find(call.id);
        return it == received.end() ? 0 : it->second;
    }

    /// Sends calls at the same time, with different bodies.
    Results send(std::size_t count, std::size_t daemon, const std::string &target, const net::Headers &headers = {})
    {
        Results calls;
        for (std::size_t n = 0; n < count; ++n) {
            calls.push_back(fleet.call(daemon, headers, "question " + std::to_string(++m_questions), target));
        }
        return calls;
    }

    /// Runs all parts until all calls have ended, or some time has passed.
    void runUntilEnded(const Results &calls, base::Duration maxTime = EndTime)
    {
        runUntil([&] { return std::ranges::all_of(calls, [](const auto &it) { return it->isEnded; }); }, maxTime);
    }

    /// Runs all parts until a condition holds, or some time has passed.
    bool runUntil(const std::function<bool()> &condition, base::Duration maxTime = EndTime)
    {
        for (const auto end = base::now() + maxTime; !condition() && base::now() < end;) {
            fleet.runFor(2ms);
        }
        return condition();
    }

    /// Sum of a counter over all its labels, at one daemon.
    std::uint64_t counter(std::size_t daemon, const std::string &name)
    {
        std::optional<std::string> text;
        net::HttpCallOptions options;
        options.to = TestFleet::metricsAddress(daemon);
        options.request = {"GET", "/metrics", {}, {}};
        net::fetchResponse(fleet.callers(), std::move(options),
                           [&text](const tl::expected<net::HttpResponse, net::CallFailure> &response) { text = response ? response->body : ""; });
        REQUIRE(runUntil([&] { return text.has_value(); }));
        std::uint64_t sum = 0;
        std::istringstream lines(*text);
        for (std::string line; std::getline(lines, line);) {
            if (line.find(name) != std::string::npos && !line.starts_with('#')) {
                sum += std::stoull(line.substr(line.rfind(' ') + 1));
            }
        }
        return sum;
    }

    TestFleet fleet;
    std::map<std::string, std::size_t> received; ///< by Request-Id
    std::function<void(const net::HttpRequest &)> onReceived;

private:
    std::size_t m_questions = 0;
};

/// What became of a call that was forwarded to a daemon.
struct ForwardResult
{
    int status = 0; ///< zero without a head
    std::optional<PeerForwardEnd> end;
};

PeerForwardCallbacks callbacksInto(const std::shared_ptr<ForwardResult> &result)
{
    PeerForwardCallbacks callbacks;
    callbacks.onHead = [result](const PeerForwardHead &head) {
        result->status = head.status;
    };
    callbacks.onBody = [](const std::string &) {
    };
    callbacks.onEnd = [result](PeerForwardEnd end) {
        result->end = end;
    };
    return callbacks;
}

PeerForwardRequest forwardRequest(std::uint64_t revision, std::uint32_t maxSends)
{
    return {{"POST", "/r/x", {{"Request-Id", "forwarded"}}, "question"}, base::Revision(revision), base::now() + 2s, maxSends};
}

/// Forwards calls to daemons as another daemon does.
class ForwardingPeer
{
public:
    explicit ForwardingPeer(boost::asio::io_context &context)
    {
        peer::MeshOptions options;
        options.listen = {"127.0.0.1", 0};
        options.self = base::DaemonId("forwarding");
        mesh = peer::openMesh(context, options);
    }

    /// @param to addresses of daemons, in the order in which they are tried
    std::shared_ptr<ForwardResult> forward(const std::vector<base::Address> &to, const PeerForwardRequest &request)
    {
        const auto result = std::make_shared<ForwardResult>();
        std::vector<ForwardTarget> targets;
        for (const auto &it : to) {
            targets.push_back({base::DaemonId(toString(it)), it, true});
        }
        const auto call = std::make_shared<PeerForward>(*mesh, targets, request, request.deadline, callbacksInto(result));
        call->onTargetBegin = [](const base::DaemonId &) {
        };
        call->onTargetEnd = [](const base::DaemonId &) {
        };
        call->start();
        return result;
    }

    std::unique_ptr<peer::Mesh> mesh;
};

std::string wholeStream()
{
    constexpr int EventCount = 20;
    std::string text;
    for (int n = 1; n <= EventCount; ++n) {
        text += "id: " + std::to_string(n) + "\ndata: x\n\n";
    }
    return text;
}

std::size_t countStatus(const Results &calls, int status)
{
    return static_cast<std::size_t>(std::ranges::count_if(calls, [status](const auto &it) { return it->isEnded && it->status == status; }));
}

/// Milliseconds that an endpoint was told to have left for a call.
double remainingMilliseconds(const net::HttpRequest &request)
{
    return std::stod(std::string(header(request.headers, "Remaining-Ms")));
}

} // namespace

TEST_CASE("a call from a peer is refused as not run and not forwarded again by a daemon that has lost contact")
{
    Site site(2, 1);
    site.fleet.setLinks(1, LinkState::RefusingNew);
    ForwardingPeer peer(site.fleet.callers());
    const auto forwarded = peer.forward({TestFleet::peerAddress(1)}, forwardRequest(1, 2));
    REQUIRE(site.runUntil([&] { return forwarded->end.has_value(); }));
    const bool isRefused = forwarded->end == PeerForwardEnd::NotProcessed || forwarded->status == 503;
    CHECK(isRefused);
    CHECK(site.receivedTotal() == 0);
    CHECK(site.counter(1, "calls_forwarded_to_peers_total") == 0);
    // A call of a caller is forwarded at the same time.
    const auto calls = site.send(1, 1, "/r/x");
    site.runUntilEnded(calls);
    CHECK(calls.front()->status == 200);
    CHECK(site.counter(1, "calls_forwarded_to_peers_total") == 1);
}

TEST_CASE("calls do not go back and forth between daemons that have lost contact and do not know it of each other")
{
    Site site(2, 2);
    for (const std::size_t n : {0, 1}) {
        site.fleet.setLinks(n, LinkState::RefusingNew);
    }
    Results calls;
    for (const char *target : {"/r/x", "/o/x", "/s/x"}) {
        for (const std::size_t n : {0, 1}) {
            const auto more = site.send(2, n, target);
            calls.insert(calls.end(), more.begin(), more.end());
        }
    }
    site.runUntilEnded(calls, 2s);
    CHECK(countStatus(calls, 503) == calls.size());
    CHECK(site.receivedTotal() == 0);
    const auto forwarded = site.counter(0, "calls_forwarded_to_peers_total") + site.counter(1, "calls_forwarded_to_peers_total");
    CHECK(forwarded > 0);
    CHECK(forwarded <= calls.size());
}

TEST_CASE("a call that must not run twice is neither sent elsewhere nor refused as not run if the peer that has taken it is killed")
{
    constexpr std::size_t CallCount = 6;
    Site site(3, 1);
    site.cutOff(LostDaemon);
    site.fleet.endpoints[0]->workTime = 400ms;
    const auto calls = site.send(CallCount, LostDaemon, "/o/x");
    REQUIRE(site.runUntil([&] { return site.receivedTotal() == CallCount; }));
    site.fleet.stopDaemon(1);
    site.runUntilEnded(calls);
    site.fleet.runFor(300ms);
    for (const auto &it : calls) {
        CHECK(site.timesReceived(*it) == 1);
    }
    CHECK(countStatus(calls, 200) > 0); // at the other peer
    CHECK(countStatus(calls, 502) > 0); // at the peer that was killed
    CHECK(countStatus(calls, 200) + countStatus(calls, 502) == CallCount);
}

TEST_CASE("a call is served once by another peer if the first one was killed before it could take the call")
{
    Site site(3, 1);
    site.cutOff(LostDaemon);
    site.fleet.stopDaemon(1);
    site.fleet.runFor(20ms); // until the connection has ended
    const auto calls = site.send(6, LostDaemon, "/o/x");
    site.runUntilEnded(calls);
    CHECK(countStatus(calls, 200) == calls.size());
    for (const auto &it : calls) {
        CHECK(site.timesReceived(*it) == 1);
    }
}

TEST_CASE("a call that an endpoint may have run is not refused as not run because the peer could not send it")
{
    for (const char *target : {"/r/x", "/o/x"}) {
        Site site(2, 2);
        site.fleet.setLink(LostDaemon, 1, LinkState::RefusingNew);
        site.runUntilEnded(site.send(8, LostDaemon, "/r/x")); // the daemon learns that it does not reach the second endpoint
        site.onReceived = [&](const net::HttpRequest &) {
            site.fleet.setLinks(LostDaemon, LinkState::Resetting);
            site.fleet.setLinks(1, LinkState::RefusingNew);
        };
        const auto calls = site.send(1, LostDaemon, target);
        site.runUntilEnded(calls);
        REQUIRE(site.timesReceived(*calls.front()) == 1);
        CHECK(calls.front()->isEnded);
        CHECK(calls.front()->status == 502);
        // A call that may run again has been forwarded all the same.
        CHECK(site.counter(LostDaemon, "calls_forwarded_to_peers_total") == (std::string_view(target) == "/r/x" ? 1 : 0));
    }
}

TEST_CASE("calls by which a daemon notices that it has lost contact are served however few endpoints there are")
{
    for (const std::size_t endpointCount : {1, 3}) {
        Site site(2, endpointCount);
        site.fleet.setLinks(LostDaemon, LinkState::RefusingNew);
        const auto calls = site.send(4, LostDaemon, "/o/x");
        site.runUntilEnded(calls);
        CHECK(countStatus(calls, 200) == calls.size());
        CHECK(site.receivedTotal() == calls.size());
    }
}

TEST_CASE("a call is served by another peer if the first one notices by it that it has lost contact as well")
{
    Site site(3, 2);
    for (const std::size_t n : {LostDaemon, std::size_t(1)}) {
        site.fleet.setLinks(n, LinkState::RefusingNew);
    }
    const auto calls = site.send(8, LostDaemon, "/o/x");
    site.runUntilEnded(calls);
    CHECK(countStatus(calls, 200) == calls.size());
    for (const auto &it : calls) {
        CHECK(site.timesReceived(*it) == 1);
    }
}

TEST_CASE("no call that an endpoint has got is refused as not run while daemons lose contact and regain it")
{
    constexpr std::size_t Rounds = 24;
    constexpr auto RoundTime = 70ms;
    Site site(3, 2);
    const std::vector<std::string> targets = {"/r/x", "/o/x", "/s/x"};
    const std::vector<LinkState> states = {LinkState::Resetting, LinkState::Open, LinkState::RefusingNew, LinkState::Resetting, LinkState::Open};
    Results calls;
    for (std::size_t round = 0; round < Rounds; ++round) {
        for (std::size_t n = 0; n < site.fleet.daemonCount(); ++n) {
            const auto more = site.send(2, n, targets[(round + n) % targets.size()]);
            calls.insert(calls.end(), more.begin(), more.end());
        }
        site.fleet.runFor(RoundTime / 4);
        site.fleet.setLinks(round % site.fleet.daemonCount(), states[round % states.size()]);
        site.fleet.runFor(RoundTime * 3 / 4);
    }
    site.runUntilEnded(calls);
    std::size_t refusedAlthoughReceived = 0;
    std::size_t ranTwice = 0;
    for (std::size_t n = 0; n < calls.size(); ++n) {
        const auto times = site.timesReceived(*calls[n]);
        const bool isNotRun = calls[n]->status == 503 || calls[n]->status == 429;
        refusedAlthoughReceived += isNotRun && times > 0 ? 1 : 0;
        ranTwice += targets[(n / 6 + n % 6 / 2) % targets.size()] == "/o/x" && times > 1 ? 1 : 0;
    }
    MESSAGE("served " << countStatus(calls, 200) << " of " << calls.size() << ", not run " << countStatus(calls, 503) << ", unknown "
                      << countStatus(calls, 502));
    CHECK(refusedAlthoughReceived == 0);
    CHECK(ranTwice == 0);
    CHECK(site.counter(0, "calls_forwarded_to_peers_total") > 0);
}

TEST_CASE("an endpoint does not work on for a caller that has left while its call was forwarded")
{
    constexpr auto MaxCloseTime = 500ms;
    Site site(2, 1);
    site.cutOff(LostDaemon);
    site.fleet.endpoints[0]->workTime = 1500ms;
    std::size_t closed = 0;
    site.fleet.endpoints[0]->onCallerLeft = [&closed] {
        ++closed;
    };
    std::size_t sent = 0;
    for (const char *target : {"/r/x", "/o/x", "/s/x"}) {
        const auto calls = site.send(1, LostDaemon, target);
        ++sent;
        REQUIRE(site.runUntil([&] { return site.receivedTotal() == sent; }));
        site.fleet.runFor(50ms);
        REQUIRE(!calls.front()->isEnded);
        REQUIRE(closed == sent - 1);
        calls.front()->call->cancel();
        calls.front()->call.reset();
        CHECK(site.runUntil([&] { return closed == sent; }, MaxCloseTime));
    }
}

TEST_CASE("a forwarded stream is whole and in order and does not look complete if its peer is killed in the middle")
{
    constexpr std::size_t CallCount = 6;
    Site site(3, 1);
    site.cutOff(LostDaemon);
    const auto calls = site.send(CallCount, LostDaemon, "/s/x");
    REQUIRE(site.runUntil([&] { return site.receivedTotal() == CallCount; }));
    site.fleet.runFor(200ms); // a third of the stream
    site.fleet.stopDaemon(1);
    site.runUntilEnded(calls);
    std::size_t whole = 0;
    std::size_t brokenOff = 0;
    for (const auto &it : calls) {
        REQUIRE(it->isEnded);
        whole += it->status == 200 && it->body == wholeStream() ? 1 : 0;
        brokenOff += it->status == 0 ? 1 : 0;
    }
    CHECK(whole > 0);
    CHECK(brokenOff > 0);
    CHECK(whole + brokenOff == CallCount);
}

TEST_CASE("an endpoint that gets a forwarded call is not told of more time than the caller has left")
{
    constexpr auto CallerTime = 1200ms;
    for (const auto state : {LinkState::RefusingNew, LinkState::Hanging}) {
        Site site(2, 2);
        site.fleet.setLinks(LostDaemon, state); // the time of the first connections that fail is the caller's as well
        const auto sentAt = base::now();
        std::optional<base::Time> receivedAt;
        double remaining = 0;
        site.onReceived = [&](const net::HttpRequest &request) {
            receivedAt = base::now();
            remaining = remainingMilliseconds(request);
        };
        const auto calls = site.send(1, LostDaemon, "/r/x", {{"Timeout-Ms", std::to_string(CallerTime.count())}});
        site.runUntilEnded(calls);
        CHECK(calls.front()->status == 200);
        REQUIRE(receivedAt.has_value());
        CHECK(remaining > 0);
        CHECK(remaining <= base::inMilliseconds(sentAt + CallerTime + MaxTransitTime - *receivedAt));
    }
}

TEST_CASE("the second peer is not told of more time than is left after the first one could not be reached")
{
    boost::asio::io_context context;
    EndpointLink unreachable(context, 1); // no connection is established, as with a daemon whose VM is gone
    unreachable.setState(LinkState::Hanging);
    ForwardingPeer peer(context);
    peer::MeshOptions options;
    options.listen = TestFleet::peerAddress(0);
    options.self = base::DaemonId("second");
    const auto second = peer::openMesh(context, options);
    std::optional<base::Time> deadline;
    second->handle(ForwardKind, [&deadline](const base::DaemonId &, const std::string &body, const peer::PeerResponder &responder) {
        deadline = decodePeerForwardRequest(body, base::now())->deadline;
        responder.end();
    });
    context.run_for(20ms); // until the queue of the first one is full
    const auto request = forwardRequest(1, 1);
    const auto result = peer.forward({{"127.0.0.1", unreachable.port()}, TestFleet::peerAddress(0)}, request);
    for (const auto end = base::now() + 2s; !result->end && base::now() < end;) {
        context.restart();
        context.run_for(5ms);
    }
    REQUIRE(deadline.has_value());
    CHECK(*deadline <= request.deadline + MaxTransitTime);
}

TEST_CASE("a peer sends a call to no more endpoints than it was told")
{
    Site site(2, 3);
    for (auto &it : site.fleet.endpoints) {
        it->isCrashing = [](const net::HttpRequest &) {
            return true;
        };
    }
    ForwardingPeer peer(site.fleet.callers());
    const auto forwarded = peer.forward({TestFleet::peerAddress(1)}, forwardRequest(1, 1));
    REQUIRE(site.runUntil([&] { return forwarded->end.has_value(); }));
    CHECK(forwarded->status == 502);
    CHECK(site.receivedTotal() == 1);
}

TEST_CASE("a call whose sends are used up is not forwarded")
{
    Site site(2, 2);
    const auto configuration = TestFleet::makeConfiguration(2, "/r/");
    for (auto &it : configuration->routes) {
        it.sendLimit = 1;
    }
    site.fleet.store.put(configuration);
    site.fleet.runFor(500ms);
    site.onReceived = [&](const net::HttpRequest &) {
        site.fleet.setLinks(LostDaemon, LinkState::Resetting);
    };
    const auto calls = site.send(1, LostDaemon, "/r/x");
    site.runUntilEnded(calls);
    CHECK(calls.front()->status == 502);
    CHECK(site.receivedTotal() == 1);
    CHECK(site.counter(LostDaemon, "calls_forwarded_to_peers_total") == 0);
}

TEST_CASE("a peer with an older configuration than the sender does not take a call")
{
    Site site(1, 1);
    ForwardingPeer peer(site.fleet.callers());
    const auto newer = peer.forward({TestFleet::peerAddress(0)}, forwardRequest(2, 1));
    REQUIRE(site.runUntil([&] { return newer->end.has_value(); }));
    CHECK(*newer->end == PeerForwardEnd::NotProcessed);
    CHECK(site.receivedTotal() == 0);
    const auto same = peer.forward({TestFleet::peerAddress(0)}, forwardRequest(1, 1));
    REQUIRE(site.runUntil([&] { return same->end.has_value(); }));
    CHECK(*same->end == PeerForwardEnd::Complete);
    CHECK(same->status == 200);
    CHECK(site.receivedTotal() == 1);
}

TEST_CASE("calls are served and not forwarded in circles while endpoints have crashed")
{
    constexpr auto NoticeTime = 300ms; ///< until no daemon sends calls to the endpoint any more
    Site site(3, 3);
    const auto sendAround = [&](base::Duration time) {
        Results calls;
        for (const auto end = base::now() + time; base::now() < end;) {
            for (std::size_t n = 0; n < site.fleet.daemonCount(); ++n) {
                const auto more = site.send(1, n, calls.size() % 2 == 0 ? "/r/x" : "/o/x");
                calls.insert(calls.end(), more.begin(), more.end());
            }
            site.fleet.runFor(40ms);
        }
        return calls;
    };
    const auto forwarded = [&] {
        std::uint64_t sum = 0;
        for (std::size_t n = 0; n < site.fleet.daemonCount(); ++n) {
            sum += site.counter(n, "calls_forwarded_to_peers_total");
        }
        return sum;
    };
    const auto warmUp = sendAround(200ms);
    site.runUntilEnded(warmUp);
    CHECK(forwarded() == 0);
    // One endpoint crashes.
    site.fleet.endpoints[0]->crashNow();
    site.fleet.runFor(NoticeTime / 2);
    const auto others = sendAround(NoticeTime);
    site.runUntilEnded(others);
    // A connection that is reset after the call was written leaves its outcome unknown, so that a call that must not run twice is not sent again.
    for (std::size_t n = 0; n < others.size(); ++n) {
        const bool isRepeatable = n % 2 == 0;
        const bool isBeforeNotice = n < others.size() / 2;
        const bool isUnknown = isBeforeNotice && !isRepeatable && others[n]->status == 502;
        CHECK((isUnknown || others[n]->status == 200));
        CHECK((isRepeatable || site.timesReceived(*others[n]) <= 1));
    }
    // All endpoints crash.
    site.fleet.crashEndpoints();
    const auto before = forwarded();
    const auto meanwhile = sendAround(NoticeTime);
    site.runUntilEnded(meanwhile);
    CHECK(forwarded() - before <= meanwhile.size());
    site.fleet.runFor(NoticeTime);
    const auto after = sendAround(NoticeTime);
    site.runUntilEnded(after);
    CHECK(countStatus(after, 200) == after.size());
}
