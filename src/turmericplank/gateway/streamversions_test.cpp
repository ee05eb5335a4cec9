#include "testfleet.hpp"
#include "turmericplank/gateway/streamoriginsmessage.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 2500ms; ///< until all daemons know each other and the endpoints
constexpr auto ReadTime = 400ms; ///< until a daemon has started and read the entries, or a running one has read them again
constexpr auto StreamTime = 900ms; ///< of a whole stream, with a margin

bool allInContact(std::size_t, std::size_t)
{
    return true;
}

bool noneInContact(std::size_t, std::size_t)
{
    return false;
}

/// A fleet with an endpoint of version v1 and one of v2, of which only the former is listed at first, and a caller with a stream that
/// began there.
class Rollout
{
public:
    explicit Rollout(std::size_t daemonCount, std::function<bool(std::size_t, std::size_t)> contacts = allInContact,
                     base::Duration drainTime = std::chrono::milliseconds(200))
        : fleet(daemonCount, 2, std::move(contacts), drainTime)
    {
        oldEndpoint().list("v1");
        newEndpoint().list("v2");
        newEndpoint().unlist();
        oldEndpoint().onReceived = [this](const net::HttpRequest &request, std::size_t) {
            resumedAtOld += header(request.headers, "Last-Event-Id").empty() ? 0 : 1;
        };
        newEndpoint().onReceived = [this](const net::HttpRequest &request, std::size_t) {
            const bool isNew = header(request.headers, "Last-Event-Id").empty();
            resumedAtNew += isNew ? 0 : 1;
            if (isNew) {
                begunAtNew = header(request.headers, "Request-Id");
            }
        };
        fleet.runFor(StartTime);
    }

    /// Begins a stream that is still in progress when this returns.
    void beginStream(std::size_t daemon)
    {
        m_stream = fleet.call(daemon, {}, "question", "/s/x")->id;
        fleet.runFor(150ms);
    }

    /// Begins streams until one is sent to the endpoint of v2, and keeps that one.
    void beginStreamAtNew(std::size_t daemon)
    {
        for (const auto end = base::now() + StartTime; begunAtNew.empty() && base::now() < end;) {
            fleet.call(daemon, {}, "question", "/s/x");
            fleet.runFor(10ms);
        }
        REQUIRE_FALSE(begunAtNew.empty());
        m_stream = begunAtNew;
    }

    /// The stream that was begun last.
    const std::string &stream() const
    {
        return m_stream;
    }

    std::shared_ptr<TestFleet::Result> resumeStream(std::size_t daemon)
    {
        return resumeStream(daemon, m_stream);
    }

    std::shared_ptr<TestFleet::Result> resumeStream(std::size_t daemon, const std::string &stream)
    {
        return fleet.call(daemon, {{"Last-Event-Id", "2"}, {"Resumes", stream}}, "question", "/s/x");
    }

    CrashingEndpoint &oldEndpoint()
    {
        return *fleet.endpoints[0];
    }

    CrashingEndpoint &newEndpoint()
    {
        return *fleet.endpoints[1];
    }

    void stopDaemons()
    {
        for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
            fleet.stopDaemon(n);
        }
    }

    void startDaemons()
    {
        for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
            fleet.startDaemon(n);
        }
    }

    TestFleet fleet;
    int resumedAtOld = 0; ///< resumptions that reached the endpoint of v1
    int resumedAtNew = 0; ///< resumptions that reached the endpoint of v2
    std::string begunAtNew; ///< last call that began a stream at the endpoint of v2

private:
    std::string m_stream;
};

} // namespace

TEST_CASE("daemons that all start after a version was replaced don't resume its streams at the other version")
{
    Rollout rollout(2);
    rollout.beginStream(0);
    rollout.stopDaemons();
    rollout.oldEndpoint().unlist();
    rollout.newEndpoint().list("v2");
    rollout.startDaemons();
    rollout.fleet.runFor(ReadTime);
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 503);
    CHECK(rollout.resumedAtNew == 0);
}

TEST_CASE("daemons that all end right after a version appeared don't resume its streams at the other version")
{
    Rollout rollout(2);
    rollout.newEndpoint().list("v2");
    rollout.beginStreamAtNew(1);
    rollout.stopDaemons();
    rollout.newEndpoint().unlist();
    rollout.startDaemons();
    rollout.fleet.runFor(ReadTime);
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 503);
    CHECK(rollout.resumedAtOld == 0);
}

TEST_CASE("daemons that start again and find no row of versions don't resume streams of an unknown version")
{
    Rollout rollout(2);
    rollout.newEndpoint().list("v2");
    rollout.beginStreamAtNew(1);
    rollout.stopDaemons();
    rollout.newEndpoint().unlist();
    rollout.fleet.store.rows.erase("versions/recent");
    rollout.fleet.isFirstStart = false;
    rollout.startDaemons();
    rollout.fleet.runFor(ReadTime);
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 503);
    CHECK(rollout.resumedAtOld == 0);
}

TEST_CASE("endpoints of a version that the store cannot take a row for are used all the same")
{
    Rollout rollout(2);
    rollout.fleet.store.refusesWrites = true;
    rollout.newEndpoint().list("v2");
    rollout.beginStreamAtNew(1);
}

TEST_CASE("daemons that all start while the entries of one of two versions are missing don't resume its streams at the other version")
{
    Rollout rollout(2);
    rollout.newEndpoint().list("v2");
    rollout.fleet.runFor(StartTime);
    rollout.beginStream(0);
    rollout.stopDaemons();
    rollout.oldEndpoint().unlist();
    rollout.startDaemons();
    rollout.fleet.runFor(ReadTime);
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 503);
    CHECK(rollout.resumedAtNew == 0);
}

TEST_CASE("a daemon that starts after a version was replaced does not resume its streams at the other version before its peers are heard")
{
    Rollout rollout(2);
    rollout.beginStream(1);
    rollout.newEndpoint().list("v2");
    rollout.oldEndpoint().unlist();
    rollout.fleet.runFor(ReadTime);
    rollout.fleet.stopDaemon(1);
    rollout.fleet.startDaemon(1);
    const auto end = base::now() + 800ms;
    while (base::now() < end) {
        rollout.resumeStream(1);
        rollout.fleet.runFor(20ms);
    }
    CHECK(rollout.resumedAtNew == 0);
}

TEST_CASE("daemons that all start where only one version has served resume its streams")
{
    Rollout rollout(2);
    rollout.beginStream(0);
    rollout.stopDaemons();
    rollout.startDaemons();
    rollout.fleet.runFor(ReadTime);
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 200);
}

TEST_CASE("a daemon that starts without rows of the store resumes streams once a peer has told that only one version has served")
{
    Rollout rollout(2);
    rollout.beginStream(1);
    rollout.fleet.stopDaemon(1);
    rollout.fleet.store.hiddenRowsFor = {"1"};
    rollout.fleet.startDaemon(1);
    rollout.fleet.runFor(StartTime);
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 200);
}

TEST_CASE("versions that served lately have a row of the store, which is written again when it is lost")
{
    Rollout rollout(2);
    const auto row = [&] {
        std::set<std::string> versions;
        const auto it = rollout.fleet.store.rows.find("versions/recent");
        const auto history = it == rollout.fleet.store.rows.end() ? std::nullopt : decodeVersionHistory(it->second.value, base::now());
        for (const auto &[version, until] : history ? history->at(base::ServiceName("s")) : std::map<std::string, base::Time>()) {
            versions.insert(version);
        }
        return versions;
    };
    CHECK(row() == std::set<std::string>{"v1"});
    rollout.newEndpoint().list("v2");
    rollout.oldEndpoint().unlist();
    rollout.fleet.runFor(StartTime);
    CHECK(row() == std::set<std::string>{"v1", "v2"});
    rollout.fleet.store.rows.erase("versions/recent");
    rollout.fleet.store.beginEra();
    rollout.fleet.runFor(StartTime);
    CHECK(row() == std::set<std::string>{"v1", "v2"});
}

TEST_CASE("a daemon that has not read the entries since a version appeared does not resume its streams at the other version")
{
    Rollout rollout(2, noneInContact, 4s);
    rollout.newEndpoint().list("v2");
    // As if another daemon had read the entry and begun a stream there.
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 503);
    CHECK(rollout.resumedAtOld == 0);
}

TEST_CASE("a daemon that was out of step while a version appeared and left does not resume its streams at the other version")
{
    constexpr auto Pause = 1500ms;
    for (const bool isPaused : {true, false}) {
        Rollout rollout(2, noneInContact);
        if (isPaused) {
            rollout.fleet.slowDown(1, Pause);
            rollout.fleet.runFor(20ms);
        } else {
            rollout.fleet.store.hiddenRowsFor = {"1"};
        }
        rollout.newEndpoint().list("v2");
        rollout.beginStreamAtNew(0);
        rollout.newEndpoint().unlist();
        rollout.fleet.slowDown(1, 0ms);
        rollout.fleet.store.hiddenRowsFor = {};
        const auto resumption = rollout.resumeStream(1);
        rollout.fleet.runFor(Pause + StreamTime);
        CHECK(resumption->status == 503);
        CHECK(rollout.resumedAtOld == 0);
    }
}

TEST_CASE("a daemon that reaches neither the store nor a peer does not resume a stream of an unknown version")
{
    Rollout rollout(2, noneInContact);
    rollout.fleet.store.hiddenRowsFor = {"1"};
    rollout.newEndpoint().list("v2");
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 503);
    CHECK(rollout.resumedAtOld == 0);
}

TEST_CASE("daemons that hear each other resume streams of the only version while the store is away")
{
    Rollout rollout(2);
    rollout.fleet.store.hiddenRowsFor = {"0", "1"};
    rollout.fleet.runFor(StartTime);
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 200);
}

TEST_CASE("a daemon that knows a version only from the row of the store does not tell others that it never served")
{
    Rollout rollout(2);
    rollout.beginStream(0);
    rollout.stopDaemons();
    rollout.oldEndpoint().unlist();
    rollout.newEndpoint().list("v2");
    rollout.fleet.store.hiddenRowsFor = {"1"};
    rollout.startDaemons();
    rollout.fleet.runFor(StartTime);
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 503);
    CHECK(rollout.resumedAtNew == 0);
}

TEST_CASE("a daemon without the store that hears only a peer that is not the reader does not resume a stream at another version than that peer knows")
{
    // Daemon 1 hears both others, which don't hear each other; daemon 0 reads the store for daemon 1.
    const auto contacts = [](std::size_t self, std::size_t other) {
        return self == 1 || other == 1;
    };
    Rollout rollout(3, contacts);
    rollout.fleet.store.hiddenRowsFor = {"2"};
    rollout.newEndpoint().list("v2");
    rollout.fleet.runFor(ReadTime);
    // As if daemon 0 had begun a stream at v2.
    const auto resumption = rollout.resumeStream(2);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 503);
    CHECK(rollout.resumedAtOld == 0);
}

TEST_CASE("daemons that hear each other, but neither the store nor most of the others, don't resume a stream of an unknown version")
{
    Rollout rollout(5);
    // As if daemons 2 to 4 served on behind a cut, with the store: from here they look as if they had ended.
    for (std::size_t n = 2; n < 5; ++n) {
        rollout.fleet.stopDaemon(n);
    }
    rollout.fleet.store.hiddenRowsFor = {"0", "1"};
    rollout.newEndpoint().list("v2");
    rollout.fleet.runFor(StartTime);
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 503);
    CHECK(rollout.resumedAtOld == 0);
}

TEST_CASE("a daemon that has just started resumes a stream whose version a peer knows")
{
    Rollout rollout(2);
    rollout.beginStream(0); // at v1
    rollout.newEndpoint().list("v2");
    rollout.fleet.runFor(ReadTime);
    rollout.fleet.stopDaemon(1);
    rollout.fleet.startDaemon(1);
    rollout.fleet.runFor(50ms);
    const auto newStream = rollout.fleet.call(1, {}, "question", "/s/x");
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(newStream->status == 200);
    CHECK(resumption->status == 200);
    CHECK(rollout.resumedAtOld == 1);
}

TEST_CASE("an endpoint that was found by a read for a resumption is not used before a regular read, so that older relayed entries don't remove it")
{
    Rollout rollout(1, noneInContact, 4s);
    int newStreams = 0;
    rollout.newEndpoint().onReceived = [&](const net::HttpRequest &, std::size_t) {
        ++newStreams;
    };
    rollout.newEndpoint().list("v2");
    rollout.resumeStream(0);
    rollout.fleet.runFor(50ms);
    for (int n = 0; n < 20; ++n) {
        rollout.fleet.call(0, {}, "question", "/s/" + std::to_string(n));
    }
    rollout.fleet.runFor(200ms);
    CHECK(newStreams == 0);
}

// Guards against streams that are refused, although endpoints of their version serve, because the process that knew their version was killed before a new
// version made it tell the others.
TEST_CASE("streams of a daemon that is killed as the first endpoint of a new version starts go on at their version")
{
    constexpr int StreamCount = 16;
    Rollout rollout(3);
    std::vector<std::string> streams;
    for (int n = 0; n < StreamCount; ++n) {
        rollout.beginStream(0);
        streams.push_back(rollout.stream());
    }
    rollout.fleet.runFor(400ms);
    rollout.newEndpoint().list("v2");
    rollout.fleet.stopDaemon(0);
    rollout.fleet.runFor(500ms);
    std::vector<std::shared_ptr<TestFleet::Result>> resumptions;
    for (std::size_t n = 0; n < streams.size(); ++n) {
        resumptions.push_back(rollout.resumeStream(1 + n % 2, streams[n]));
    }
    rollout.fleet.runFor(StreamTime);
    CHECK(std::ranges::count_if(resumptions, [](const auto &it) { return it->status == 200; }) == StreamCount);
    CHECK(rollout.resumedAtOld == StreamCount);
    CHECK(rollout.resumedAtNew == 0);
}

TEST_CASE("a daemon that has started again gets the copies that it had")
{
    Rollout rollout(2);
    rollout.beginStream(0);
    rollout.fleet.runFor(400ms);
    rollout.fleet.stopDaemon(1);
    rollout.fleet.startDaemon(1);
    rollout.fleet.runFor(2s);
    rollout.newEndpoint().list("v2");
    rollout.fleet.stopDaemon(0);
    rollout.fleet.runFor(ReadTime);
    const auto resumption = rollout.resumeStream(1);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 200);
    CHECK(rollout.resumedAtOld == 1);
    CHECK(rollout.resumedAtNew == 0);
}

TEST_CASE("a daemon that appears after the backup of another one has gone gets its copies")
{
    Rollout rollout(3);
    rollout.fleet.stopDaemon(2);
    rollout.fleet.runFor(2s);
    rollout.beginStream(0);
    rollout.fleet.runFor(400ms);
    rollout.fleet.startDaemon(2);
    rollout.fleet.runFor(2s);
    rollout.newEndpoint().list("v2");
    rollout.fleet.stopDaemon(0);
    rollout.fleet.stopDaemon(1);
    rollout.fleet.runFor(ReadTime);
    const auto resumption = rollout.resumeStream(2);
    rollout.fleet.runFor(StreamTime);
    CHECK(resumption->status == 200);
    CHECK(rollout.resumedAtOld == 1);
    CHECK(rollout.resumedAtNew == 0);
}
