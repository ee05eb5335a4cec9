#include "turmericplank/gateway/fleet.hpp"

#include <doctest/doctest.h>

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

struct Daemon
{
    Daemon()
    {
        fleet.takeConfiguration(site(1), at(0));
    }

    bool mayUse(const std::string &model, base::Time now)
    {
        routing::RouteRequest request;
        request.model = workName(base::ServiceName("s"), base::ModelName(model));
        std::mt19937_64 random(1);
        return router.choose(request, now, random).has_value();
    }

    routing::Router router;
    Fleet fleet{router};
};

} // namespace

TEST_CASE("an older configuration never comes back in force")
{
    Daemon it;
    CHECK(it.fleet.takeConfiguration(site(3), at(1)));
    CHECK_FALSE(it.fleet.takeConfiguration(site(2), at(2)));
    CHECK_FALSE(it.fleet.takeConfiguration(site(3), at(3)));
    CHECK(it.fleet.routes()->configuration().revision == base::Revision(3));
}

TEST_CASE("a daemon that the table turned away hears from another that an endpoint has gone")
{
    // The entry was removed while this daemon could not read; its first read afterwards must keep missing entries for a while.
    Daemon away;
    Daemon other;
    away.fleet.takeEntries({entry("e")}, at(0));
    for (int n = 0; n < 10; ++n) {
        other.fleet.takeEntries({entry("e")}, at(n * 1000));
    }
    other.fleet.takeEntries({}, at(10000));
    away.fleet.takeEntries({}, at(10500));
    CHECK(away.mayUse("m", at(10500)));
    away.fleet.takeLeaving(other.fleet.leavingEndpoints(at(10600)), at(10600));
    CHECK_FALSE(away.mayUse("m", at(10600)));
}

TEST_CASE("a later incarnation is not held to be leaving")
{
    Daemon it;
    it.fleet.takeEntries({entry("e", 1)}, at(0));
    it.fleet.takeLeaving({{base::EndpointId("e"), base::Incarnation(1)}}, at(100));
    CHECK_FALSE(it.mayUse("m", at(100)));
    it.fleet.takeEntries({entry("e", 2)}, at(200));
    CHECK(it.mayUse("m", at(200)));
}

TEST_CASE("what the holder ordered counts before the engine's late entry, and not after a restart")
{
    Daemon it;
    it.fleet.takeEntries({entry("e")}, at(0));
    CHECK_FALSE(it.mayUse("m/a1", at(0)));
    CHECK(it.fleet.takeEngine({base::EndpointId("e"), base::Incarnation(1), 1, {{base::ModelName("m"), {"a1"}}}}, at(100)));
    CHECK(it.mayUse("m/a1", at(100)));
    it.fleet.takeEntries({entry("e")}, at(1000));
    CHECK(it.mayUse("m/a1", at(1000)));
    it.fleet.takeEntries({entry("e")}, at(4000));
    CHECK_FALSE(it.mayUse("m/a1", at(4000)));
    it.fleet.takeEntries({entry("e", 2)}, at(5000));
    CHECK_FALSE(it.fleet.takeEngine({base::EndpointId("e"), base::Incarnation(1), 9, {{base::ModelName("m"), {"a1"}}}}, at(5100)));
}
