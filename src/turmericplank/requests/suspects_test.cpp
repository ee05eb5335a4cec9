#include "turmericplank/requests/suspects.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::requests;

namespace {

const base::Time Now{std::chrono::seconds(1000)};
const Fingerprint Crashing(7);
const base::DaemonId Other("d1");

EndpointLoss loss(const char *endpoint, std::uint64_t incarnation)
{
    return {base::EndpointId(endpoint), base::Incarnation(incarnation)};
}

Suspects daemonWithOnePeer()
{
    SuspectOptions options;
    options.self = base::DaemonId("d0");
    options.peers = [] {
        return std::vector{Other};
    };
    return Suspects(options);
}

} // namespace

TEST_CASE("an endpoint that is lost, restarts and is lost again counts twice")
{
    auto suspects = daemonWithOnePeer();
    suspects.endpointLost(Crashing, loss("e", 1), Now);
    REQUIRE(suspects.standing(Crashing, Now) == Standing::Suspect);
    suspects.onVerdict(Other, {Crashing, false, {loss("e", 2)}, 0}, Now);
    CHECK(suspects.standing(Crashing, Now) == Standing::Condemned);
}

TEST_CASE("one loss that two daemons saw counts once")
{
    auto suspects = daemonWithOnePeer();
    suspects.endpointLost(Crashing, loss("e", 1), Now);
    suspects.onVerdict(Other, {Crashing, false, {loss("e", 1)}, 0}, Now);
    CHECK(suspects.standing(Crashing, Now) == Standing::Suspect);
    CHECK(suspects.avoid(Crashing) == std::vector{base::EndpointId("e")});
}
