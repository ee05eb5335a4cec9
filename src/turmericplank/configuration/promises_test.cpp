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

std::string modelsText(const std::string &version)
{
    return "[models.m]\nversion = \"" + version + "\"\nmemory_mib = 10\n";
}

std::string placementText(int price)
{
    return "[placement]\nmove_price = " + std::to_string(price) + "\n";
}

using Breaches = std::set<Violation>;

/// Two teams edit the same section from the same state.
Breaches twoEditsOfOneSection(WriteRules rules)
{
    FakeCluster cluster({.rules = std::move(rules)});
    cluster.seed(siteDocument());
    FakeCluster::Operator first;
    FakeCluster::Operator second;
    cluster.readDraft(first);
    cluster.readDraft(second);
    cluster.edit(first, Section::Models, modelsText("2"));
    cluster.run(1s);
    cluster.edit(second, Section::Models, modelsText("3"));
    cluster.run(1s);
    CHECK(first.granted == 1);
    CHECK(second.results == 1);
    return cluster.oracle.breaches;
}

/// An edit is made between what an operator saw and their acceptance.
Breaches editBeforeAcceptance(WriteRules rules)
{
    FakeCluster cluster({.rules = std::move(rules)});
    cluster.seed(siteDocument());
    FakeCluster::Operator team;
    FakeCluster::Operator releaser;
    cluster.readDraft(team);
    cluster.edit(team, Section::Models, modelsText("2"));
    cluster.run(1s);
    cluster.readDraft(releaser);
    cluster.readDraft(team);
    cluster.edit(team, Section::Placement, placementText(9));
    cluster.run(1s);
    cluster.accept(releaser);
    cluster.run(1s);
    return cluster.oracle.breaches;
}

/// Two acceptances and an edit run at the same moment.
Breaches racingWrites(WriteRules rules)
{
    FakeCluster cluster({.rules = std::move(rules)});
    cluster.seed(siteDocument());
    FakeCluster::Operator first;
    FakeCluster::Operator second;
    cluster.readDraft(first);
    cluster.edit(first, Section::Models, modelsText("2"));
    cluster.run(1s);
    cluster.readDraft(first);
    cluster.readDraft(second);
    cluster.accept(first);
    cluster.accept(second);
    cluster.edit(second, Section::Placement, placementText(3));
    cluster.edit(first, Section::Models, modelsText("4"));
    cluster.run(20s);
    return cluster.oracle.breaches;
}

/// The answer to an edit's write is lost, and the operator waits for the result.
Breaches lostAnswer(WriteRules rules)
{
    FakeCluster cluster({.rules = std::move(rules)});
    cluster.seed(siteDocument());
    FakeCluster::Operator team;
    cluster.readDraft(team);
    cluster.store.answersToLose = 1;
    cluster.edit(team, Section::Models, modelsText("2"));
    cluster.run(20s);
    CHECK(team.results == 1);
    return cluster.oracle.breaches;
}

void acceptModels(FakeCluster &cluster, const std::string &version)
{
    FakeCluster::Operator team;
    cluster.readDraft(team);
    cluster.edit(team, Section::Models, modelsText(version));
    cluster.run(6s);
    cluster.readDraft(team);
    cluster.accept(team);
    cluster.run(15s);
    CHECK(team.granted == 2);
}

/// A daemon gets an answer of the table that is older than what it serves under.
Breaches lateRead(ActivationRules rules)
{
    FakeCluster cluster({.daemons = 1, .activation = {.pollInterval = 4s, .rules = std::move(rules)}});
    cluster.seed(siteDocument());
    cluster.run(2s);
    const auto old = Oracle::pointerOf(cluster.store.rows);
    acceptModels(cluster, "2");
    cluster.run(10s);
    REQUIRE(cluster.daemons[0].activation->inForce().revision == base::Revision(2));
    cluster.handle(0, PointerRead{0, std::optional(old)});
    cluster.run(1s);
    return cluster.oracle.breaches;
}

/// A daemon learns of a revision long after the others switched.
Breaches lateDaemon(ActivationRules rules)
{
    FakeCluster cluster({.daemons = 2, .activation = {.rules = std::move(rules)}});
    cluster.seed(siteDocument());
    cluster.run(2s);
    cluster.daemons[1].isCutFromStore = true;
    cluster.daemons[1].isCutFromPeers = true;
    acceptModels(cluster, "2");
    cluster.run(10s);
    cluster.store.latency = 2s;
    cluster.daemons[1].isCutFromStore = false;
    for (int n = 0; n < 100; ++n) {
        cluster.run(100ms);
        cluster.admit(1);
    }
    CHECK(cluster.daemons[1].activation->inForce().revision == base::Revision(2));
    return cluster.oracle.breaches;
}

base::Duration switchSkew(ActivationRules rules)
{
    FakeCluster cluster({.daemons = 6, .cellSize = 2, .activation = {.rules = std::move(rules)}});
    cluster.seed(siteDocument());
    cluster.run(2s);
    cluster.store.latency = 1s;
    acceptModels(cluster, "2");
    cluster.run(20s);
    auto first = base::Time::max();
    base::Time last;
    for (const auto &it : cluster.daemons) {
        first = std::min(first, it.switchedAt);
        last = std::max(last, it.switchedAt);
    }
    return last - first;
}

} // namespace

TEST_CASE("no edit is lost; without the condition on the section's revision one would be")
{
    CHECK(twoEditsOfOneSection({}).empty());
    WriteRules broken;
    broken.mayReplace = [](auto, auto) {
        return true;
    };
    CHECK(twoEditsOfOneSection(broken) == Breaches{Violation::LostEdit});
}

TEST_CASE("no edit slips in unseen; without comparing digests one would")
{
    CHECK(editBeforeAcceptance({}).empty());
    WriteRules broken;
    broken.isSame = [](const auto &, const auto &) {
        return true;
    };
    CHECK(editBeforeAcceptance(broken) == Breaches{Violation::UnseenEdit});
}

TEST_CASE("racing writes follow one another; without conditions on the rows they would not")
{
    CHECK(racingWrites({}).empty());
    WriteRules broken;
    broken.condition = [](auto) {
        return std::optional<base::RowVersion>();
    };
    CHECK_FALSE(racingWrites(broken).empty());
}

TEST_CASE("a write without an answer is settled by reading back; otherwise its author is told wrongly")
{
    CHECK(lostAnswer({}).empty());
    WriteRules broken;
    broken.readsBack = false;
    CHECK(lostAnswer(broken) == Breaches{Violation::WrongAnswer});
}

TEST_CASE("a daemon never goes back; without the comparison of revisions a late read would take it back")
{
    CHECK(lateRead({}).empty());
    ActivationRules broken;
    broken.mayFollow = [](auto, auto) {
        return true;
    };
    CHECK(lateRead(broken).contains(Violation::Reverted));
}

TEST_CASE("a daemon that knows that it is late admits nothing; without holding it would serve the old revision")
{
    CHECK(lateDaemon({}).empty());
    ActivationRules broken;
    broken.holdsWhenLate = false;
    CHECK(lateDaemon(broken) == Breaches{Violation::StaleAdmission});
}

TEST_CASE("daemons switch at one moment; without the stated time they would switch when they learn of it")
{
    CHECK(switchSkew({}) == 0us);
    ActivationRules broken;
    broken.switchTime = [](auto, base::Time now) {
        return now;
    };
    CHECK(switchSkew(broken) > 100ms);
}
