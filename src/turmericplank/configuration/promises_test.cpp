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

using Violations = std::set<Violation>;

/// Two teams edit the same section, both based on the same revision.
Violations twoEditsOfOneSection(WriteRules rules)
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
    CHECK(first.confirmed == 1);
    CHECK(second.responses == 1);
    return cluster.oracle.violations;
}

/// The draft is edited after an operator has reviewed it and before the operator accepts it.
Violations editBeforeAcceptance(WriteRules rules)
{
    FakeCluster cluster({.rules = std::move(rules)});
    cluster.seed(siteDocument());
    FakeCluster::Operator team;
    FakeCluster::Operator approver;
    cluster.readDraft(team);
    cluster.edit(team, Section::Models, modelsText("2"));
    cluster.run(1s);
    cluster.readDraft(approver);
    cluster.readDraft(team);
    cluster.edit(team, Section::Placement, placementText(9));
    cluster.run(1s);
    cluster.accept(approver);
    cluster.run(1s);
    return cluster.oracle.violations;
}

/// Two acceptances and two edits run at the same time.
Violations racingWrites(WriteRules rules)
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
    return cluster.oracle.violations;
}

/// The response to an edit's write is lost while the operator waits for the result.
Violations lostAnswer(WriteRules rules)
{
    FakeCluster cluster({.rules = std::move(rules)});
    cluster.seed(siteDocument());
    FakeCluster::Operator team;
    cluster.readDraft(team);
    cluster.store.answersToLose = 1;
    cluster.edit(team, Section::Models, modelsText("2"));
    cluster.run(20s);
    CHECK(team.responses == 1);
    return cluster.oracle.violations;
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
    CHECK(team.confirmed == 2);
}

/// A daemon receives a table read that is older than the revision it serves.
Violations lateRead(ActivationRules rules)
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
    return cluster.oracle.violations;
}

/// A daemon learns of a revision long after the others switched to it.
Violations lateDaemon(ActivationRules rules)
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
    return cluster.oracle.violations;
}

/// Time between the first and the last daemon's switch to an accepted revision.
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

TEST_CASE("an edit based on an outdated revision is rejected; without that condition it would overwrite another edit")
{
    CHECK(twoEditsOfOneSection({}).empty());
    WriteRules broken;
    broken.mayReplace = [](auto, auto) {
        return true;
    };
    CHECK(twoEditsOfOneSection(broken) == Violations{Violation::LostEdit});
}

TEST_CASE("a draft that changed after its review is not accepted; without comparing digests it would be")
{
    CHECK(editBeforeAcceptance({}).empty());
    WriteRules broken;
    broken.isSameDraft = [](const auto &, const auto &) {
        return true;
    };
    CHECK(editBeforeAcceptance(broken) == Violations{Violation::UnseenEdit});
}

TEST_CASE("concurrent writes are serialized; without conditional row writes they would not be")
{
    CHECK(racingWrites({}).empty());
    WriteRules broken;
    broken.writeCondition = [](auto) {
        return std::optional<base::RowVersion>();
    };
    CHECK_FALSE(racingWrites(broken).empty());
}

TEST_CASE("the outcome of an unanswered write is read back; without that its author would get a wrong response")
{
    CHECK(lostAnswer({}).empty());
    WriteRules broken;
    broken.checksUnansweredWrites = false;
    CHECK(lostAnswer(broken) == Violations{Violation::WrongAnswer});
}

TEST_CASE("a daemon never reverts to a lower revision; without comparing revisions a late read would revert it")
{
    CHECK(lateRead({}).empty());
    ActivationRules broken;
    broken.mayFollow = [](auto, auto) {
        return true;
    };
    CHECK(lateRead(broken).contains(Violation::Reverted));
}

TEST_CASE("a late daemon rejects requests; otherwise it would serve the old revision")
{
    CHECK(lateDaemon({}).empty());
    ActivationRules broken;
    broken.rejectsWhenLate = false;
    CHECK(lateDaemon(broken) == Violations{Violation::StaleAdmission});
}

TEST_CASE("daemons switch at the same time; without an agreed time they would switch when they learn of a revision")
{
    CHECK(switchSkew({}) == 0us);
    ActivationRules broken;
    broken.switchTime = [](auto, base::Time now) {
        return now;
    };
    CHECK(switchSkew(broken) > 100ms);
}
