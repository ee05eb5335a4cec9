#include "turmericplank/requests/suspects.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::requests;

namespace {

const base::Time now{std::chrono::seconds(1000)};
const Fingerprint crashing(7);
const base::DaemonId other("d1");

EndpointLoss loss(const char *endpoint, std::uint64_t incarnation)
{
    return {base::EndpointId(endpoint), base::Incarnation(incarnation)};
}

Suspects daemonWithOnePeer()
{
    SuspectOptions options;
    options.self = base::DaemonId("d0");
    options.peers = [] {
        return std::vector{other};
    };
    return Suspects(options);
}

} // namespace

TEST_CASE("an endpoint that is lost, restarts and is lost again counts as two losses")
{
    auto suspects = daemonWithOnePeer();
    suspects.endpointLost(crashing, loss("e", 1), now);
    REQUIRE(suspects.state(crashing, now) == SuspectState::Suspect);
    suspects.onNotification(other, {crashing, false, {loss("e", 2)}, 0}, now);
    CHECK(suspects.state(crashing, now) == SuspectState::Blocked);
}

TEST_CASE("a loss that two daemons report counts once")
{
    auto suspects = daemonWithOnePeer();
    suspects.endpointLost(crashing, loss("e", 1), now);
    suspects.onNotification(other, {crashing, false, {loss("e", 1)}, 0}, now);
    CHECK(suspects.state(crashing, now) == SuspectState::Suspect);
    CHECK(suspects.endpointsToAvoid(crashing) == std::vector{base::EndpointId("e")});
}
