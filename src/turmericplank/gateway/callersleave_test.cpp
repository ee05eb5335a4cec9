#include "testfleet.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 1500ms; ///< until all daemons know each other and the endpoints
constexpr auto PauseTime = 1000ms; ///< of a daemon; idle connections to endpoints are still used after it
constexpr std::size_t CallCount = 20;

bool allInContact(std::size_t, std::size_t)
{
    return true;
}

/// Calls that reach the endpoints of a fleet.
class Arrivals
{
public:
    explicit Arrivals(TestFleet &fleet)
    {
        for (auto &it : fleet.endpoints) {
            it->onReceived = [this](const net::HttpRequest &, std::size_t) {
                ++m_count;
            };
        }
    }

    std::size_t count() const
    {
        return m_count;
    }

private:
    std::size_t m_count = 0;
};

std::vector<std::shared_ptr<TestFleet::Result>> sendCalls(TestFleet &fleet, std::size_t daemon)
{
    std::vector<std::shared_ptr<TestFleet::Result>> calls;
    for (std::size_t n = 0; n < CallCount; ++n) {
        calls.push_back(fleet.call(daemon, {}, "question " + std::to_string(n)));
    }
    return calls;
}

/// Lets callers leave within a pause of a daemon and returns how many of their calls reach an endpoint.
/// @param pausedDaemon handles nothing for some time
/// @param askedDaemon gets the calls
std::size_t arrivalsAfterCallersLeft(TestFleet &fleet, std::size_t pausedDaemon, std::size_t askedDaemon)
{
    // Leaves idle connections to the endpoints, over which a call is sent at once.
    sendCalls(fleet, pausedDaemon);
    fleet.runFor(100ms);
    const Arrivals arrivals(fleet);
    fleet.slowDown(pausedDaemon, PauseTime);
    fleet.runFor(20ms);
    const auto calls = sendCalls(fleet, askedDaemon);
    fleet.runFor(100ms);
    REQUIRE(arrivals.count() == 0);
    for (const auto &it : calls) {
        it->call->cancel();
    }
    fleet.runFor(PauseTime);
    fleet.slowDown(pausedDaemon, {});
    fleet.runFor(PauseTime);
    return arrivals.count();
}

} // namespace

TEST_CASE("calls whose callers left before a slow daemon read them do not reach endpoints")
{
    TestFleet fleet(1, 2, allInContact);
    fleet.runFor(StartTime);
    CHECK(arrivalsAfterCallersLeft(fleet, 0, 0) == 0);
}

TEST_CASE("forwarded calls that were cancelled before a slow peer read them do not reach endpoints")
{
    TestFleet fleet(2, 2, allInContact);
    fleet.runFor(StartTime);
    fleet.setLinks(0, LinkState::Resetting);
    sendCalls(fleet, 0);
    fleet.runFor(500ms);
    CHECK(arrivalsAfterCallersLeft(fleet, 1, 0) == 0);
}
