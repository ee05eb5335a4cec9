#include "turmericplank/gateway/sitestateupdater.hpp"

#include <doctest/doctest.h>

#include "turmericplank/daemon/timers.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;

namespace {

std::shared_ptr<const routes::SiteConfiguration> configurationOf(std::uint64_t revision)
{
    auto it = std::make_shared<routes::SiteConfiguration>();
    it->revision = base::Revision(revision);
    return it;
}

/// A daemon whose store answers at once; the test completes its waits for a change.
struct Daemon
{
    explicit Daemon(bool isReaderOfGroup)
        : isStoreReader(isReaderOfGroup)
        , updater(context, store(), siteState, metrics, callbacks(), options())
    {
        updater.start();
        daemon::callAt(context, base::now() + std::chrono::seconds(20), [this] { context.stop(); });
    }

    static SiteStateUpdaterOptions options()
    {
        SiteStateUpdaterOptions it;
        it.endpointsInterval = std::chrono::milliseconds(60);
        it.relayTimeout = std::chrono::milliseconds(150);
        it.configurationRelayTime = std::chrono::milliseconds(20);
        it.tickInterval = std::chrono::milliseconds(5);
        it.retryInterval = std::chrono::milliseconds(10);
        it.maxRetryInterval = std::chrono::milliseconds(80);
        return it;
    }

    SiteStore store()
    {
        SiteStore it;
        it.readConfiguration = [this](const ReadCallback<ConfigurationSnapshot> &callback) {
            ++configurationReads;
            callback(ConfigurationSnapshot{configurationOf(stored), stored, std::to_string(stored)});
        };
        it.awaitConfiguration = [this](std::uint64_t, ReadCallback<ConfigurationSnapshot> callback) {
            awaiting = std::move(callback);
            if (stopsWhenAwaiting) {
                context.stop();
            }
        };
        it.readEndpoints = [this](const ReadCallback<EndpointsSnapshot> &callback) {
            ++endpointReads;
            if (isStoreDown) {
                callback(tl::unexpected(TableFailure::Unavailable));
            } else {
                callback(EndpointsSnapshot{});
            }
        };
        it.parseConfiguration = [](const std::string &text) {
            return configurationOf(std::stoull(text));
        };
        return it;
    }

    SiteStateUpdater::Callbacks callbacks()
    {
        SiteStateUpdater::Callbacks it;
        it.onConfigurationChanged = [] {
        };
        it.onEndpointsUpdated = [](const auto &) {
        };
        it.isStoreReader = [this] {
            return isStoreReader;
        };
        it.onEntriesRead = [this](const auto &) {
            ++relayCount;
        };
        it.onConfigurationText = [this](const std::string &text) {
            relayedTexts.push_back(text);
        };
        return it;
    }

    std::uint64_t revision() const
    {
        return siteState.routes()->configuration().revision.value();
    }

    boost::asio::io_context context;
    bool isStoreReader = false;
    bool stopsWhenAwaiting = true;
    bool isStoreDown = false; ///< for reads of the entries
    std::uint64_t stored = 1;
    int configurationReads = 0;
    int endpointReads = 0;
    int relayCount = 0;
    std::vector<std::string> relayedTexts;
    ReadCallback<ConfigurationSnapshot> awaiting;
    telemetry::Metrics metrics;
    routing::Router router;
    SiteState siteState{router};
    SiteStateUpdater updater;
};

} // namespace

TEST_CASE("the reader of a group reads, waits for changes and relays both")
{
    Daemon it(true);
    it.context.run();
    REQUIRE(it.awaiting);
    it.awaiting(ConfigurationSnapshot{configurationOf(2), 2, "2"});
    CHECK(it.revision() == 2);
    CHECK(it.relayedTexts == std::vector<std::string>{"1", "2"});
    CHECK(it.endpointReads > 0);
    CHECK(it.relayCount == it.endpointReads);
}

TEST_CASE("a daemon whose reader relays nothing reads and waits for changes itself")
{
    // The reader is cut off from the store while a new revision is accepted; no other daemon would relay it.
    Daemon it(false);
    it.context.run();
    REQUIRE(it.awaiting);
    CHECK(it.endpointReads > 0);
    CHECK(it.relayCount == 0);
    it.awaiting(ConfigurationSnapshot{configurationOf(5), 5, "5"});
    CHECK(it.revision() == 5);
}

TEST_CASE("a daemon reads a peer's later revision unless it is relayed")
{
    Daemon it(false);
    it.stopsWhenAwaiting = false;
    it.stored = 4;
    it.updater.notePeerRevision(base::Revision(4));
    CHECK(it.revision() == 1);
    it.updater.applyRelayedConfiguration("3");
    CHECK(it.revision() == 3);
    it.updater.applyRelayedConfiguration("2");
    CHECK(it.revision() == 3);
    const auto reads = it.configurationReads;
    it.updater.notePeerRevision(base::Revision(4));
    CHECK(it.configurationReads == reads);
    daemon::callAt(it.context, base::now() + std::chrono::milliseconds(30), [&] {
        it.updater.notePeerRevision(base::Revision(4));
        it.context.stop();
    });
    it.context.run();
    CHECK(it.configurationReads == reads + 1);
    CHECK(it.revision() == 4);
}

TEST_CASE("while the store is down, readers retry often and other daemons back off")
{
    Daemon other(false);
    other.stopsWhenAwaiting = false;
    other.isStoreDown = true;
    daemon::callAt(other.context, base::now() + std::chrono::milliseconds(800), [&] { other.context.stop(); });
    other.context.run();
    CHECK(other.endpointReads <= 14); // 10, 20, 40 and then 80 ms apart
    constexpr int ExpectedReads = 30;
    Daemon reader(true);
    reader.stopsWhenAwaiting = false;
    reader.isStoreDown = true;
    daemon::callEvery(reader.context, std::chrono::milliseconds(5), [&] {
        if (reader.endpointReads >= ExpectedReads) {
            reader.context.stop();
        }
    });
    reader.context.run();
    CHECK(reader.endpointReads >= ExpectedReads);
}
