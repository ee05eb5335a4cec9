#include "turmericplank/gateway/sitestate.hpp"

#include <doctest/doctest.h>

#include "gatewayoptions.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;

namespace {

base::Time at(std::int64_t milliseconds)
{
    return base::timeFromMilliseconds(milliseconds);
}

discovery::EndpointEntry entry(const std::string &id, std::uint64_t incarnation = 1)
{
    discovery::EndpointEntry it;
    it.id = base::EndpointId(id);
    it.service = base::ServiceName("s");
    it.address = {"10.0.0.1", 80};
    it.incarnation = base::Incarnation(incarnation);
    it.models[base::ModelName("m")];
    return it;
}

std::shared_ptr<routes::SiteConfiguration> site(std::uint64_t revision)
{
    auto it = std::make_shared<routes::SiteConfiguration>();
    it->revision = base::Revision(revision);
    routes::ServiceSpec service;
    service.name = base::ServiceName("s");
    service.engine.emplace();
    service.engine->models.push_back({base::ModelName("m"), 1, {}, 2, 1});
    it->services.emplace(service.name, service);
    return it;
}

constexpr std::int64_t HeartbeatMilliseconds = 1200; ///< between two writes of an endpoint's entry

std::vector<discovery::EndpointEntry> someEntries(std::size_t count)
{
    std::vector<discovery::EndpointEntry> entries;
    for (std::size_t n = 0; n < count; ++n) {
        entries.push_back(entry("e" + std::to_string(n)));
    }
    return entries;
}

/// Milliseconds between the last relay of a reader that ends and the read of a daemon of its group.
std::int64_t unrelayedMilliseconds(base::Duration drainTime)
{
    SiteBounds bounds;
    bounds.drainTime = drainTime;
    bounds.configurationTime = drainTime;
    const auto options = updaterOptions(bounds);
    return std::chrono::duration_cast<std::chrono::milliseconds>(options.relayTimeout + options.tickInterval).count();
}

struct Daemon
{
    explicit Daemon(SiteStateOptions options = {})
        : siteState(router, options)
    {
        siteState.applyConfiguration(site(1), at(0));
    }

    bool isRoutable(const std::string &model, base::Time now)
    {
        routing::RouteRequest request;
        request.model = qualifiedModelName(base::ServiceName("s"), base::ModelName(model));
        std::mt19937_64 random(1);
        return router.choose(request, now, random).has_value();
    }

    routing::Router router;
    SiteState siteState;
};

} // namespace

TEST_CASE("an older configuration is never put in force again")
{
    Daemon it;
    CHECK(it.siteState.applyConfiguration(site(3), at(1)));
    CHECK_FALSE(it.siteState.applyConfiguration(site(2), at(2)));
    CHECK_FALSE(it.siteState.applyConfiguration(site(3), at(3)));
    CHECK(it.siteState.routes()->configuration().revision == base::Revision(3));
}

TEST_CASE("a daemon that could not read the table learns from a peer that an endpoint was removed")
{
    // The entry was removed while this daemon could not read. Its first read afterwards keeps missing entries for a while, so
    // without the report of a peer it would still send calls to the endpoint.
    Daemon cutOff;
    Daemon reader;
    cutOff.siteState.applyEntries({entry("e")}, at(0));
    for (int n = 0; n < 10; ++n) {
        reader.siteState.applyEntries({entry("e")}, at(n * 1000));
    }
    reader.siteState.applyEntries({}, at(10000));
    cutOff.siteState.noteReadFailed();
    cutOff.siteState.applyEntries({}, at(10500));
    CHECK(cutOff.isRoutable("m", at(10500)));
    cutOff.siteState.applyDraining(reader.siteState.drainingEndpoints(at(10600)), at(10600));
    CHECK_FALSE(cutOff.isRoutable("m", at(10600)));
}

TEST_CASE("a later incarnation of a draining endpoint is not draining")
{
    Daemon it;
    it.siteState.applyEntries({entry("e", 1)}, at(0));
    it.siteState.applyDraining({{base::EndpointId("e"), base::Incarnation(1)}}, at(100));
    CHECK_FALSE(it.isRoutable("m", at(100)));
    it.siteState.applyEntries({entry("e", 2)}, at(200));
    CHECK(it.isRoutable("m", at(200)));
}

TEST_CASE("the lease holder's update takes precedence over a lagging entry, but not after a restart of the engine")
{
    Daemon it;
    it.siteState.applyEntries({entry("e")}, at(0));
    CHECK_FALSE(it.isRoutable("m/a1", at(0)));
    CHECK(it.siteState.applyEngineUpdate({base::EndpointId("e"), base::Incarnation(1), 1, {{base::ModelName("m"), {"a1"}}}}, at(100)));
    CHECK(it.isRoutable("m/a1", at(100)));
    it.siteState.applyEntries({entry("e")}, at(1000));
    CHECK(it.isRoutable("m/a1", at(1000)));
    it.siteState.applyEntries({entry("e")}, at(4000));
    CHECK_FALSE(it.isRoutable("m/a1", at(4000)));
    it.siteState.applyEntries({entry("e", 2)}, at(5000));
    CHECK_FALSE(it.siteState.applyEngineUpdate({base::EndpointId("e"), base::Incarnation(1), 9, {{base::ModelName("m"), {"a1"}}}}, at(5100)));
}

TEST_CASE("what other daemons report holds until entries that include it are applied, whatever the drain time")
{
    constexpr std::int64_t Start = 60000;
    for (const auto drainTime : {std::chrono::seconds(2), std::chrono::seconds(3), std::chrono::seconds(4)}) {
        CAPTURE(drainTime.count());
        Settings settings;
        settings.bounds.drainTime = drainTime;
        Daemon it(siteStateOptions(settings));
        it.siteState.applyEntries({entry("e"), entry("leaving")}, at(Start));
        it.siteState.applyEngineUpdate({base::EndpointId("e"), base::Incarnation(1), 1, {{base::ModelName("m"), {"a1"}}}}, at(Start));
        it.siteState.applyDraining({{base::EndpointId("leaving"), base::Incarnation(1)}}, at(Start));
        // The engine wrote its entry right before the order, and this daemon had read it right before that.
        const auto lag = HeartbeatMilliseconds + unrelayedMilliseconds(drainTime);
        it.siteState.applyEntries({entry("e"), entry("leaving")}, at(Start + lag));
        CHECK(it.isRoutable("m/a1", at(Start + lag)));
        const auto readAt = Start + unrelayedMilliseconds(drainTime);
        it.siteState.applyDraining({}, at(readAt));
        CHECK(it.siteState.isDraining(base::EndpointId("leaving")));
    }
}

TEST_CASE("an endpoint that says in an answer that it is leaving gets no more calls, and peers are told")
{
    Daemon it;
    Daemon other;
    it.siteState.applyEntries({entry("e", 3)}, at(0));
    other.siteState.applyEntries({entry("e", 3)}, at(0));
    const DrainingEndpoint leaving{base::EndpointId("e"), base::Incarnation(3)};
    CHECK(it.siteState.noteLeavingAnswer(leaving, at(100)));
    CHECK_FALSE(it.siteState.noteLeavingAnswer(leaving, at(110)));
    CHECK_FALSE(it.isRoutable("m", at(110)));
    CHECK(it.siteState.isDraining(base::EndpointId("e")));
    it.siteState.applyEntries({entry("e", 3)}, at(60000)); // its entry does not say so
    CHECK_FALSE(it.isRoutable("m", at(60000)));
    other.siteState.applyDraining(it.siteState.drainingEndpoints(at(60100)), at(60100));
    CHECK_FALSE(other.isRoutable("m", at(60100)));
}

TEST_CASE("an endpoint that has said that it is leaving gets calls again after a restart")
{
    Daemon it;
    it.siteState.applyEntries({entry("e", 3)}, at(0));
    CHECK_FALSE(it.siteState.noteLeavingAnswer({base::EndpointId("e"), base::Incarnation(2)}, at(50))); // of an earlier incarnation
    CHECK(it.isRoutable("m", at(50)));
    it.siteState.noteLeavingAnswer({base::EndpointId("e"), base::Incarnation(3)}, at(100));
    it.siteState.applyEntries({entry("e", 4)}, at(5000));
    CHECK(it.isRoutable("m", at(5000)));
}

TEST_CASE("an endpoint that has said that it is leaving gets no calls when its entry is missing for a while and comes back")
{
    Daemon it;
    it.siteState.applyEntries({entry("e", 3)}, at(0));
    it.siteState.noteLeavingAnswer({base::EndpointId("e"), base::Incarnation(3)}, at(100));
    it.siteState.applyEntries({}, at(1000));
    it.siteState.applyEntries({entry("e", 3)}, at(5000));
    CHECK_FALSE(it.isRoutable("m", at(5000)));
}

TEST_CASE("an endpoint whose entry is removed as the reader of the group ends gets no calls after the drain time")
{
    for (const auto drainTime : {std::chrono::seconds(2), std::chrono::seconds(3), std::chrono::seconds(4)}) {
        for (const std::size_t count : {1U, 3U, 166U, 7200U}) {
            CAPTURE(drainTime.count());
            CAPTURE(count);
            constexpr std::int64_t Start = 60000;
            const auto readAt = Start + unrelayedMilliseconds(drainTime);
            REQUIRE(readAt < Start + drainTime / std::chrono::milliseconds(1));
            Daemon it;
            auto entries = someEntries(count);
            entries.push_back(entry("removed"));
            it.siteState.applyEntries(entries, at(Start));
            it.siteState.applyEntries(someEntries(count), at(readAt));
            CHECK(it.siteState.endpoints().size() == count);
        }
    }
}

TEST_CASE("endpoints whose entries expired during an outage of the store are kept until they had time to write them again")
{
    constexpr std::int64_t Start = 60000;
    constexpr std::int64_t RewriteMilliseconds = 2000;
    for (const std::int64_t outageMilliseconds : {3500, 6500, 12000}) {
        for (const std::size_t count : {2U, 166U, 7200U}) {
            CAPTURE(outageMilliseconds);
            CAPTURE(count);
            Daemon it;
            it.siteState.applyEntries(someEntries(count), at(Start));
            it.siteState.noteReadFailed();
            const auto returnAt = Start + outageMilliseconds;
            const auto half = someEntries(count / 2);
            it.siteState.applyEntries(half, at(returnAt));
            CHECK(it.siteState.endpoints().size() == count);
            it.siteState.applyEntries(half, at(returnAt + RewriteMilliseconds));
            CHECK(it.siteState.endpoints().size() == count / 2);
        }
    }
}

TEST_CASE("a daemon that was paused while the store served the others drops removed endpoints at its first read")
{
    Daemon it;
    it.siteState.applyEntries({entry("e"), entry("removed")}, at(0));
    it.siteState.applyEntries({entry("e")}, at(6500));
    CHECK(it.siteState.endpoints().size() == 1);
}
