#include "turmericplank/gateway/siteview.hpp"

#include <doctest/doctest.h>

#include "turmericplank/daemon/timers.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;

namespace {

std::shared_ptr<const routes::SiteConfiguration> version(std::uint64_t revision)
{
    auto it = std::make_shared<routes::SiteConfiguration>();
    it->revision = base::Revision(revision);
    return it;
}

/// A daemon whose store answers at once, and whose waits for a change end when the test says so.
struct Daemon
{
    explicit Daemon(bool isReaderOfGroup)
        : isReader(isReaderOfGroup)
        , view(context, store(), fleet, metrics, hooks(), options())
    {
        view.start();
        daemon::callAt(context, base::now() + std::chrono::seconds(20), [this] { context.stop(); });
    }

    static SiteViewOptions options()
    {
        SiteViewOptions it;
        it.endpointsInterval = std::chrono::milliseconds(60);
        it.passedLimit = std::chrono::milliseconds(150);
        it.passingTime = std::chrono::milliseconds(20);
        it.tickInterval = std::chrono::milliseconds(5);
        it.retryInterval = std::chrono::milliseconds(10);
        it.longestRetry = std::chrono::milliseconds(80);
        return it;
    }

    SiteStore store()
    {
        SiteStore it;
        it.readConfiguration = [this](const ReadHook<ReadConfiguration> &hook) {
            ++configurationReads;
            hook(ReadConfiguration{version(stored), stored, std::to_string(stored)});
        };
        it.awaitConfiguration = [this](std::uint64_t, ReadHook<ReadConfiguration> hook) {
            awaiting = std::move(hook);
            if (stopsAtWait) {
                context.stop();
            }
        };
        it.readEndpoints = [this](const ReadHook<ReadEndpoints> &hook) {
            ++endpointReads;
            if (isAway) {
                hook(tl::unexpected(TableFailure::Unavailable));
            } else {
                hook(ReadEndpoints{});
            }
        };
        it.parseConfiguration = [](const std::string &text) {
            return version(std::stoull(text));
        };
        return it;
    }

    SiteView::Hooks hooks()
    {
        SiteView::Hooks it;
        it.onConfiguration = [] {
        };
        it.onEndpoints = [](const auto &) {
        };
        it.isReader = [this] {
            return isReader;
        };
        it.onRead = [this](const auto &) {
            ++passedOn;
        };
        it.onText = [this](const std::string &text) {
            textsPassedOn.push_back(text);
        };
        return it;
    }

    std::uint64_t revision() const
    {
        return fleet.routes()->configuration().revision.value();
    }

    boost::asio::io_context context;
    bool isReader = false;
    bool stopsAtWait = true;
    bool isAway = false; ///< the store, for reads of the entries
    std::uint64_t stored = 1;
    int configurationReads = 0;
    int endpointReads = 0;
    int passedOn = 0;
    std::vector<std::string> textsPassedOn;
    ReadHook<ReadConfiguration> awaiting;
    telemetry::Metrics metrics;
    routing::Router router;
    Fleet fleet{router};
    SiteView view;
};

} // namespace

TEST_CASE("the reader of a group reads, waits for changes and passes both on")
{
    Daemon it(true);
    it.context.run();
    REQUIRE(it.awaiting);
    it.awaiting(ReadConfiguration{version(2), 2, "2"});
    CHECK(it.revision() == 2);
    CHECK(it.textsPassedOn == std::vector<std::string>{"1", "2"});
    CHECK(it.endpointReads > 0);
    CHECK(it.passedOn == it.endpointReads);
}

TEST_CASE("a daemon whose reader passes nothing on reads and waits for changes itself")
{
    // The reader was cut off from the store, and a version was accepted meanwhile: nobody else would tell of it.
    Daemon it(false);
    it.context.run();
    REQUIRE(it.awaiting);
    CHECK(it.endpointReads > 0);
    CHECK(it.passedOn == 0);
    it.awaiting(ReadConfiguration{version(5), 5, "5"});
    CHECK(it.revision() == 5);
}

TEST_CASE("a daemon that hears of a later version reads it unless it is passed on")
{
    Daemon it(false);
    it.stopsAtWait = false;
    it.stored = 4;
    it.view.heardRevision(base::Revision(4));
    CHECK(it.revision() == 1);
    it.view.takePassedConfiguration("3");
    CHECK(it.revision() == 3);
    it.view.takePassedConfiguration("2");
    CHECK(it.revision() == 3);
    const auto reads = it.configurationReads;
    it.view.heardRevision(base::Revision(4));
    CHECK(it.configurationReads == reads);
    daemon::callAt(it.context, base::now() + std::chrono::milliseconds(30), [&] {
        it.view.heardRevision(base::Revision(4));
        it.context.stop();
    });
    it.context.run();
    CHECK(it.configurationReads == reads + 1);
    CHECK(it.revision() == 4);
}

TEST_CASE("while the store is away, readers ask often and the others seldom")
{
    Daemon other(false);
    other.stopsAtWait = false;
    other.isAway = true;
    daemon::callAt(other.context, base::now() + std::chrono::milliseconds(800), [&] { other.context.stop(); });
    other.context.run();
    CHECK(other.endpointReads <= 14); // 10, 20, 40 and then 80 ms apart
    constexpr int ManyReads = 30;
    Daemon reader(true);
    reader.stopsAtWait = false;
    reader.isAway = true;
    daemon::callEvery(reader.context, std::chrono::milliseconds(5), [&] {
        if (reader.endpointReads >= ManyReads) {
            reader.context.stop();
        }
    });
    reader.context.run();
    CHECK(reader.endpointReads >= ManyReads);
}
