#include "testfleet.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 2500ms; ///< until all daemons know each other and the endpoints
constexpr auto ContactTime = 600ms; ///< for daemons in contact to learn of a loss
constexpr std::size_t ToleratedCrashes = 3;
constexpr std::size_t ToleratedSends = 3; ///< after these crashes and the contact time, over all daemons

/// Sends a request that crashes endpoints, with an id of its own each time, and sound ones beside it, to all daemons in turn.
class Callers
{
public:
    explicit Callers(TestFleet &fleet)
        : m_fleet(fleet)
    {
        for (auto &it : fleet.endpoints) {
            it->isCrashing = [](const net::HttpRequest &request) {
                return request.body == "crashing";
            };
            it->onReceived = [this](const net::HttpRequest &request, std::size_t) {
                if (request.body == "crashing" && m_lateFrom && base::now() >= *m_lateFrom) {
                    ++lateSends;
                }
            };
        }
    }

    void runFor(base::Duration time)
    {
        const auto end = base::now() + time;
        while (base::now() < end) {
            const auto daemon = m_next++ % m_fleet.daemonCount();
            m_fleet.call(daemon, {}, "crashing");
            sound.push_back(m_fleet.call(daemon, {}, "sound " + std::to_string(m_next)));
            m_fleet.runFor(20ms);
            if (!m_lateFrom && m_fleet.crashes() >= ToleratedCrashes) {
                m_lateFrom = base::now() + ContactTime;
            }
        }
    }

    std::size_t lateSends = 0; ///< of the crashing request that reached endpoints later than daemons may take to refuse it
    std::vector<std::shared_ptr<TestFleet::Result>> sound;

private:
    TestFleet &m_fleet;
    std::size_t m_next = 0;
    std::optional<base::Time> m_lateFrom;
};

std::size_t answered(const std::vector<std::shared_ptr<TestFleet::Result>> &results)
{
    return static_cast<std::size_t>(std::ranges::count_if(results, [](const auto &it) { return it->status == 200; }));
}

/// The crashing request ends few endpoints, and once daemons refuse it, sound requests are answered.
void checkCrashesEnd(TestFleet &fleet, Callers &callers)
{
    CHECK(fleet.crashes() >= ToleratedCrashes);
    CHECK(callers.lateSends <= ToleratedSends);
    callers.sound.clear();
    callers.runFor(1s);
    fleet.runFor(200ms);
    CHECK(answered(callers.sound) == callers.sound.size());
    CHECK(callers.lateSends <= ToleratedSends);
}

} // namespace

TEST_CASE("a request that crashes endpoints is refused by all daemons after few crashes, and sound requests beside it are answered")
{
    TestFleet fleet(3, 3, [](std::size_t, std::size_t) { return true; });
    fleet.runFor(StartTime);
    Callers callers(fleet);
    callers.runFor(3s);
    checkCrashesEnd(fleet, callers);
}

TEST_CASE("a request that crashes endpoints is refused by daemons that are in contact through others only")
{
    TestFleet fleet(5, 3, [](std::size_t a, std::size_t b) { return a + 1 == b || b + 1 == a; });
    fleet.runFor(StartTime);
    Callers callers(fleet);
    callers.runFor(3s);
    checkCrashesEnd(fleet, callers);
}

TEST_CASE("a daemon that restarts refuses a request that crashed endpoints before")
{
    TestFleet fleet(3, 3, [](std::size_t, std::size_t) { return true; });
    fleet.runFor(StartTime);
    Callers callers(fleet);
    callers.runFor(1500ms);
    for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
        fleet.stopDaemon(n);
        fleet.startDaemon(n);
        fleet.runFor(1s);
        callers.runFor(500ms);
    }
    checkCrashesEnd(fleet, callers);
}

TEST_CASE("daemons that are all killed at the same time refuse a request that crashed endpoints before")
{
    TestFleet fleet(3, 3, [](std::size_t, std::size_t) { return true; });
    fleet.runFor(StartTime);
    Callers callers(fleet);
    callers.runFor(1500ms);
    for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
        fleet.stopDaemon(n);
    }
    for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
        fleet.startDaemon(n);
    }
    fleet.runFor(StartTime);
    callers.runFor(1s);
    checkCrashesEnd(fleet, callers);
}
