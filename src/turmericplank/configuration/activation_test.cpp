#include "turmericplank/configuration/activation.hpp"

#include <doctest/doctest.h>

#include "fakecluster.hpp"

using namespace turmericplank;
using namespace turmericplank::configuration;
using namespace std::chrono_literals;

namespace {

Document siteDocument()
{
    Document document;
    document.site = "site";
    const base::EndpointId endpoint("e-1");
    document.endpoints[endpoint] = {.id = endpoint, .address = {"10.0.0.1", 80}, .zone = base::ZoneName("r/a"), .memoryMib = 100};
    const base::ModelName model("m");
    document.models[model] = {.name = model, .version = "1", .memoryMib = 10};
    return document;
}

struct Site
{
    explicit Site(FakeCluster::Options options = {})
        : cluster(std::move(options))
    {
        cluster.seed(siteDocument());
        cluster.run(2s);
    }

    /// Edits and accepts; time passes only until the operators have their responses.
    void change(int price)
    {
        cluster.readDraft(team);
        cluster.edit(team, Section::Placement, "[placement]\nmove_price = " + std::to_string(price) + "\n");
        cluster.run(cluster.store.latency * 6);
        cluster.readDraft(team);
        cluster.accept(team);
        cluster.run(cluster.store.latency * 6);
    }

    std::uint64_t revisionOf(std::size_t daemon) const
    {
        return cluster.daemons[daemon].activation->inForce().revision.value();
    }

    FakeCluster cluster;
    FakeCluster::Operator team;
};

} // namespace

TEST_CASE("a daemon that starts while the store is down loads the newest revision from its peers")
{
    Site site;
    site.change(2);
    site.cluster.run(10s);
    site.cluster.store.isDown = true;
    site.cluster.stop(2);
    site.cluster.start(2);
    CHECK(site.cluster.admit(2) == Admission::Starting);
    site.cluster.run(2s);
    CHECK(site.cluster.admit(2) == Admission::Serve);
    CHECK(site.revisionOf(2) == 2);
}

TEST_CASE("a daemon that starts without contact to store or peers serves nothing")
{
    Site site({.daemons = 1});
    site.cluster.store.isDown = true;
    site.cluster.stop(0);
    site.cluster.start(0);
    site.cluster.run(60s);
    CHECK(site.cluster.admit(0) == Admission::Starting);
    site.cluster.store.isDown = false;
    site.cluster.run(7s);
    CHECK(site.cluster.admit(0) == Admission::Serve);
}

TEST_CASE("a daemon without contact to store and peers rejects requests after a timeout, until it has contact again")
{
    Site site;
    site.cluster.daemons[0].isCutFromStore = true;
    site.cluster.daemons[0].isCutFromPeers = true;
    site.cluster.run(25s);
    CHECK(site.cluster.admit(0) == Admission::Serve);
    site.cluster.run(10s);
    CHECK(site.cluster.admit(0) == Admission::Isolated);
    CHECK(site.cluster.admit(1) == Admission::Serve);
    site.cluster.daemons[0].isCutFromPeers = false;
    site.cluster.run(1s);
    CHECK(site.cluster.admit(0) == Admission::Serve);
}

TEST_CASE("a daemon that knows of peers but never had contact with them also rejects requests once it is cut off")
{
    Site site;
    site.cluster.daemons[0].isCutFromPeers = true;
    site.cluster.stop(0);
    site.cluster.start(0);
    site.cluster.run(5s);
    CHECK(site.cluster.admit(0) == Admission::Serve);
    site.cluster.daemons[0].isCutFromStore = true;
    site.cluster.run(35s);
    CHECK(site.cluster.admit(0) == Admission::Isolated);
}

TEST_CASE("daemons in contact with each other keep serving during a long outage of the store")
{
    Site site;
    site.cluster.store.isDown = true;
    site.cluster.run(600s);
    CHECK(site.cluster.admit(0) == Admission::Serve);
    CHECK(site.cluster.admit(2) == Admission::Serve);
}

TEST_CASE("the only daemon of a site keeps serving during a long outage of the store")
{
    Site site({.daemons = 1});
    site.cluster.store.isDown = true;
    site.cluster.run(600s);
    CHECK(site.cluster.admit(0) == Admission::Serve);
}

TEST_CASE("a process that was paused during a switch rejects requests until its revision is confirmed")
{
    Site site;
    site.cluster.daemons[1].isCutFromPeers = true;
    site.cluster.pause(1);
    site.change(2);
    site.cluster.run(10s);
    site.cluster.store.latency = 1s;
    site.cluster.resume(1);
    CHECK(site.cluster.admit(1) == Admission::Late);
    site.cluster.run(6s);
    CHECK(site.cluster.admit(1) == Admission::Serve);
    CHECK(site.revisionOf(1) == 2);
    CHECK(site.cluster.oracle.violations.empty());
}

TEST_CASE("revisions accepted within one activation delay come into force in order, also on a daemon that learned of both late")
{
    Site site;
    std::vector<std::uint64_t> seen;
    site.cluster.onSwitched = [&](std::size_t n, const SwitchRevision &it) {
        if (n == 2) {
            seen.push_back(it.inForce.revision.value());
        }
    };
    site.cluster.daemons[2].isCutFromStore = true;
    site.cluster.daemons[2].isCutFromPeers = true;
    site.change(2);
    site.cluster.run(1s);
    site.change(3);
    site.cluster.run(1s);
    site.cluster.daemons[2].isCutFromStore = false;
    site.cluster.daemons[2].isCutFromPeers = false;
    site.cluster.run(10s);
    CHECK(seen == std::vector<std::uint64_t>{2, 3});
    CHECK(site.cluster.daemons[2].switchedAt == site.cluster.daemons[0].switchedAt);
}

TEST_CASE("a change is in force on all daemons within the bound even if each store call takes a second")
{
    Site site({.daemons = 16});
    site.cluster.store.latency = 1s;
    site.change(2);
    const auto accepted = site.cluster.oracle.writtenAt.at(base::Revision(2));
    site.cluster.run(10s);
    for (const auto &it : site.cluster.daemons) {
        CHECK(it.switchedAt > accepted);
        CHECK(it.switchedAt - accepted <= Oracle::MaxActivationTime);
        CHECK(it.switchedAt == site.cluster.daemons[0].switchedAt);
    }
}
