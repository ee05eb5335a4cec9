#include "turmericplank/gateway/sitestateupdater.hpp"

#include <thread>

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

const base::DaemonId peer("peer");

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

    static SiteStateOptions siteStateOptions()
    {
        SiteStateOptions it;
        it.catalog.heartbeatInterval = std::chrono::milliseconds(10);
        return it;
    }

    static SiteStateUpdaterOptions options()
    {
        SiteStateUpdaterOptions it;
        it.endpointsInterval = std::chrono::milliseconds(60);
        it.relayTimeout = std::chrono::milliseconds(150);
        it.awaitTimeout = std::chrono::milliseconds(300);
        it.configurationRelayTime = std::chrono::milliseconds(20);
        it.tickInterval = std::chrono::milliseconds(5);
        it.retryInterval = std::chrono::milliseconds(10);
        it.peerRereadInterval = std::chrono::milliseconds(100);
        it.maxRetryInterval = std::chrono::milliseconds(80);
        return it;
    }

    SiteStore store()
    {
        SiteStore it;
        it.readConfiguration = [this](const ReadCallback<ConfigurationSnapshot> &callback) {
            ++configurationReads;
            if (isReadSilent) {
                return;
            }
            callback(ConfigurationSnapshot{configurationOf(stored), stored, std::to_string(stored)});
        };
        it.awaitConfiguration = [this](std::uint64_t position, ReadCallback<ConfigurationSnapshot> callback) {
            awaiting = std::move(callback);
            awaitedFrom.push_back(position);
            if (stopsWhenAwaiting) {
                context.stop();
            }
        };
        it.readEndpoints = [this](const ReadCallback<EndpointsSnapshot> &callback) {
            ++endpointReads;
            if (isStoreDown) {
                callback(tl::unexpected(TableFailure::Unavailable));
            } else {
                callback(EndpointsSnapshot{entries, {}});
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
        it.isConfigurationWatcher = [this] {
            return isStoreReader || isSecondWatcher;
        };
        it.onWatchChanged = [] {
        };
        it.onEntriesRead = [this](const auto &usable) {
            ++relayCount;
            relayedEntries = usable;
        };
        it.onConfigurationText = [this](const std::string &text) {
            relayedTexts.push_back(text);
        };
        it.onPeerBehind = [this](const base::DaemonId &peer, const std::string &text) {
            sentToPeers.emplace_back(peer.text(), text);
        };
        return it;
    }

    /// Runs until the next wait for a change has started.
    void runUntilAwaiting()
    {
        awaiting = nullptr;
        context.restart();
        context.run();
        REQUIRE(awaiting);
    }

    std::uint64_t revision() const
    {
        return siteState.routes()->configuration().revision.value();
    }

    boost::asio::io_context context;
    bool isStoreReader = false;
    bool isSecondWatcher = false;
    bool stopsWhenAwaiting = true;
    bool isStoreDown = false; ///< for reads of the entries
    bool isReadSilent = false; ///< for reads of the configuration
    std::uint64_t stored = 1;
    int configurationReads = 0;
    int endpointReads = 0;
    int relayCount = 0;
    std::vector<discovery::EndpointEntry> entries; ///< in the store
    std::vector<discovery::EndpointEntry> relayedEntries;
    std::vector<std::string> relayedTexts;
    std::vector<std::pair<std::string, std::string>> sentToPeers;
    std::vector<std::uint64_t> awaitedFrom; ///< position of each wait
    ReadCallback<ConfigurationSnapshot> awaiting;
    telemetry::Metrics metrics;
    routing::Router router;
    SiteState siteState{router, siteStateOptions()};
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

TEST_CASE("the reader of a group relays entries that it keeps because its reads failed")
{
    Daemon it(true);
    it.entries.emplace_back();
    it.entries.back().id = base::EndpointId("e");
    it.runUntilAwaiting();
    REQUIRE(it.relayedEntries.size() == 1);
    it.isStoreDown = true;
    it.entries.clear();
    daemon::callEvery(it.context, std::chrono::milliseconds(5), [&] {
        const bool isBack = std::exchange(it.relayCount, 0) > 0;
        if (!it.isStoreDown && isBack) {
            it.context.stop();
        }
        it.isStoreDown = it.isStoreDown && it.endpointReads < 20;
    });
    it.stopsWhenAwaiting = false;
    it.context.restart();
    it.context.run();
    CHECK(it.siteState.endpoints().size() == 1);
    CHECK(it.relayedEntries.size() == 1);
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
    it.updater.notePeerRevision(peer, base::Revision(4));
    CHECK(it.revision() == 1);
    it.updater.applyRelayedConfiguration(peer, "3");
    CHECK(it.revision() == 3);
    it.updater.applyRelayedConfiguration(peer, "2");
    CHECK(it.revision() == 3);
    const auto reads = it.configurationReads;
    it.updater.notePeerRevision(peer, base::Revision(4));
    CHECK(it.configurationReads == reads);
    daemon::callAt(it.context, base::now() + std::chrono::milliseconds(30), [&] {
        it.updater.notePeerRevision(peer, base::Revision(4));
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

TEST_CASE("a change that a wait was not told of is found once the store has discarded its history")
{
    // The store records revision 2 at position 2, does not tell the wait of it, and ends the wait at its newest position. Shortly
    // after, it discards its history and refuses waits that start before.
    Daemon it(true);
    it.runUntilAwaiting();
    it.stored = 2;
    it.awaiting(ConfigurationSnapshot{nullptr, 2, {}});
    it.runUntilAwaiting();
    CHECK(it.awaitedFrom == std::vector<std::uint64_t>{1, 1});
    it.awaiting(tl::unexpected(TableFailure::Unavailable));
    it.runUntilAwaiting();
    CHECK(it.revision() == 2);
    CHECK(it.relayedTexts == std::vector<std::string>{"1", "2"});
}

TEST_CASE("without changes the position of the waits follows the store, one wait behind")
{
    Daemon it(true);
    it.runUntilAwaiting();
    for (const std::uint64_t position : {5, 9, 12}) {
        it.awaiting(ConfigurationSnapshot{nullptr, position, {}});
        it.runUntilAwaiting();
    }
    CHECK(it.awaitedFrom == std::vector<std::uint64_t>{1, 1, 5, 9});
}

TEST_CASE("after the store came back from an older copy, the configuration stays in force and changes are awaited from the copy's position")
{
    Daemon it(true);
    it.runUntilAwaiting();
    it.awaiting(ConfigurationSnapshot{configurationOf(30), 30, "30"});
    it.runUntilAwaiting();
    const auto waitBefore = it.awaiting;
    it.stored = 20;
    it.updater.noteStoreRestored();
    it.runUntilAwaiting();
    CHECK(it.revision() == 30);
    CHECK(it.awaitedFrom.back() == 20);
    waitBefore(ConfigurationSnapshot{nullptr, 30, {}});
    it.awaiting(ConfigurationSnapshot{configurationOf(31), 21, "31"});
    CHECK(it.revision() == 31);
    it.runUntilAwaiting();
    CHECK(it.awaitedFrom.back() == 21);
}

TEST_CASE("a daemon reads a later revision although other peers have missed it as well")
{
    // The reader's message with revision 2 is lost on its way to several daemons of the group. Each hears the reader, which is ahead,
    // and the others, which are not.
    Daemon it(false);
    it.stopsWhenAwaiting = false;
    it.stored = 2;
    const auto end = base::now() + std::chrono::milliseconds(120);
    daemon::callEvery(it.context, std::chrono::milliseconds(5), [&] {
        it.updater.applyRelayedEntries(peer, {});
        it.updater.notePeerRevision(base::DaemonId("reader"), base::Revision(2));
        it.updater.notePeerRevision(peer, base::Revision(1));
        if (base::now() >= end) {
            it.context.stop();
        }
    });
    it.context.run();
    CHECK(it.revision() == 2);
}

TEST_CASE("a daemon that finds an older configuration in the store gets the one in force from a peer, once")
{
    Daemon it(false);
    it.stopsWhenAwaiting = false;
    it.updater.applyRelayedConfiguration(peer, "5");
    it.updater.notePeerRevision(peer, base::Revision(4));
    CHECK(it.sentToPeers.empty()); // the peer may be about to apply the change itself
    daemon::callAt(it.context, base::now() + std::chrono::milliseconds(30), [&] {
        it.updater.notePeerRevision(base::DaemonId("starting"), base::Revision());
        it.updater.notePeerRevision(peer, base::Revision(4));
        it.updater.notePeerRevision(peer, base::Revision(4));
        it.context.stop();
    });
    it.context.run();
    CHECK(it.sentToPeers == std::vector<std::pair<std::string, std::string>>{{"peer", "5"}});
}

TEST_CASE("while peers have a later revision than the store, the store is not read with each of their messages")
{
    Daemon it(false);
    it.stopsWhenAwaiting = false;
    // A peer waits for changes, so that a wait of this daemon, which would end in a read, adds none.
    const auto rely = [&it] {
        it.updater.applyRelayedEntries(peer, {});
        it.updater.notePeerWatch(peer, true);
    };
    rely();
    const auto end = base::now() + std::chrono::milliseconds(350);
    daemon::callEvery(it.context, std::chrono::milliseconds(5), [&] {
        rely();
        it.updater.notePeerRevision(peer, base::Revision(7));
        if (base::now() >= end) {
            it.context.stop();
        }
    });
    it.context.run();
    CHECK(it.configurationReads <= 1 + 4); // the first read, and one every 100 ms
    CHECK(it.revision() == 1);
}

TEST_CASE("the second watcher of a group waits for changes although entries are relayed to it")
{
    Daemon it(false);
    it.isSecondWatcher = true;
    daemon::callEvery(it.context, std::chrono::milliseconds(5), [&] { it.updater.applyRelayedEntries(peer, {}); });
    it.runUntilAwaiting();
    it.awaiting(ConfigurationSnapshot{configurationOf(2), 2, "2"});
    CHECK(it.revision() == 2);
    CHECK(it.relayedTexts.back() == "2");
}

TEST_CASE("a wait that does not end is replaced by another one from the same position, and its late failure is ignored")
{
    Daemon it(true);
    it.runUntilAwaiting();
    const auto silent = it.awaiting;
    it.runUntilAwaiting();
    CHECK(it.awaitedFrom == std::vector<std::uint64_t>{1, 1});
    silent(tl::unexpected(TableFailure::Unavailable));
    it.awaiting(ConfigurationSnapshot{configurationOf(2), 2, "2"});
    CHECK(it.revision() == 2);
    it.runUntilAwaiting();
    CHECK(it.awaitedFrom.back() == 2);
}

TEST_CASE("a change that comes late, from a wait that another one has replaced, is applied, but not from before the store came back from an older copy")
{
    Daemon it(true);
    it.runUntilAwaiting();
    const auto first = it.awaiting;
    it.runUntilAwaiting();
    first(ConfigurationSnapshot{configurationOf(2), 2, "2"});
    CHECK(it.revision() == 2);
    CHECK(it.relayedTexts.back() == "2");
    const auto second = it.awaiting;
    it.runUntilAwaiting();
    it.updater.noteStoreRestored();
    it.runUntilAwaiting();
    second(ConfigurationSnapshot{configurationOf(3), 3, "3"});
    CHECK(it.revision() == 2);
    CHECK(it.awaitedFrom.back() == 1);
}

TEST_CASE("a read in place of a wait that does not end is replaced as well")
{
    Daemon it(true);
    it.runUntilAwaiting();
    it.isReadSilent = true;
    it.awaiting(tl::unexpected(TableFailure::Unavailable));
    it.runUntilAwaiting();
    CHECK(it.awaitedFrom == std::vector<std::uint64_t>{1, 1});
}

TEST_CASE("a daemon waits for changes itself as soon as no peer does so for the group, although entries are relayed")
{
    Daemon it(false);
    bool isWatched = true;
    it.updater.applyRelayedEntries(peer, {});
    it.updater.notePeerWatch(peer, isWatched); // before the first tick, so that no wait of its own is in progress
    const auto end = base::now() + std::chrono::milliseconds(300);
    daemon::callEvery(it.context, std::chrono::milliseconds(5), [&] {
        it.updater.applyRelayedEntries(peer, {});
        it.updater.notePeerWatch(peer, isWatched);
        if (isWatched && base::now() >= end) {
            isWatched = false;
            it.awaitedFrom.clear(); // of the start
            it.context.stop();
        }
    });
    it.stopsWhenAwaiting = false;
    it.context.run();
    CHECK_FALSE(it.updater.isWatchingForGroup());
    it.stopsWhenAwaiting = true;
    it.runUntilAwaiting();
    CHECK(it.awaitedFrom.size() == 1);
    CHECK_FALSE(it.updater.isConfigurationCertain());
    it.awaiting(ConfigurationSnapshot{nullptr, 1, {}});
    CHECK(it.updater.isConfigurationCertain());
    CHECK_FALSE(it.updater.isWatchingForGroup()); // it waits for itself only
    it.updater.notePeerRevision(peer, base::Revision(9));
    CHECK_FALSE(it.updater.isConfigurationCertain());
}

// Guards against a process that refuses an added route for good after a pause, since it handles calls before its timers.
TEST_CASE("after a pause a daemon is not certain of its configuration, although its wait has not ended yet")
{
    Daemon it(true);
    it.runUntilAwaiting();
    it.awaiting(ConfigurationSnapshot{nullptr, 1, {}});
    it.runUntilAwaiting();
    CHECK(it.updater.isConfigurationCertain());
    CHECK(it.updater.isWatchingForGroup());
    std::this_thread::sleep_for(Daemon::options().awaitTimeout + Daemon::options().tickInterval);
    CHECK_FALSE(it.updater.isConfigurationCertain());
    CHECK_FALSE(it.updater.isWatchingForGroup());
}
