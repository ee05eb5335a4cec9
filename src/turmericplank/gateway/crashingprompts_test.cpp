#include "testfleet.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 2500ms; ///< until all daemons know each other and the endpoints
constexpr auto ContactTime = 600ms; ///< for daemons in contact to learn of a loss
constexpr auto StreamTime = 800ms; ///< of a sound stream, with a margin
constexpr std::size_t ToleratedCrashes = 5;
constexpr std::size_t ToleratedSends = 3; ///< after these crashes and the contact time, over all daemons
constexpr auto RefusalTime = 6s; ///< until sound parts have been tried again and answered
constexpr int CrashingPart = 666;
constexpr int Subjects = 5; ///< second parts of sound prompts
constexpr int CommonPart = 1;

bool isCrashing(const net::HttpRequest &request)
{
    return header(request.headers, "Prompt").find(' ' + std::to_string(CrashingPart) + ' ') != std::string_view::npos;
}

/// Sends streams whose prompts have one part that crashes endpoints, no two of them alike, and sound ones with the same first part beside
/// them, to all daemons in turn.
class Callers
{
public:
    explicit Callers(TestFleet &fleet)
        : m_fleet(fleet)
    {
        for (auto &it : fleet.endpoints) {
            it->isCrashing = isCrashing;
            it->onReceived = [this](const net::HttpRequest &request, std::size_t) {
                if (isCrashing(request) && m_lateFrom && base::now() >= *m_lateFrom) {
                    ++lateSends;
                }
            };
        }
    }

    void sendSound(std::size_t daemon)
    {
        sound.push_back(send(daemon, 100 + static_cast<int>(m_next % Subjects)));
    }

    /// Sends sound streams to all daemons in turn, at the same moment.
    void sendSoundAtOnce(int count)
    {
        for (int n = 0; n < count; ++n) {
            sendSound(m_next++ % m_fleet.daemonCount());
        }
    }

    /// Sends sound streams only.
    void runSound(base::Duration time)
    {
        const auto end = base::now() + time;
        while (base::now() < end) {
            sendSound(m_next++ % m_fleet.daemonCount());
            m_fleet.runFor(20ms);
        }
    }

    void runFor(base::Duration time)
    {
        const auto end = base::now() + time;
        while (base::now() < end) {
            const auto daemon = m_next++ % m_fleet.daemonCount();
            send(daemon, CrashingPart);
            sendSound(daemon);
            m_fleet.runFor(20ms);
            if (!m_lateFrom && m_fleet.crashes() >= ToleratedCrashes) {
                m_lateFrom = base::now() + ContactTime;
            }
        }
    }

    std::size_t lateSends = 0; ///< of requests with the crashing part that reached endpoints later than daemons may take to refuse them
    std::vector<std::shared_ptr<TestFleet::Result>> sound;

private:
    std::shared_ptr<TestFleet::Result> send(std::size_t daemon, int secondPart)
    {
        const auto own = std::to_string(++m_ownPart);
        const auto prompt = std::to_string(CommonPart) + ' ' + std::to_string(secondPart) + ' ' + own;
        return m_fleet.call(daemon, {{"Prompt", prompt}}, "question " + own, "/s/" + own);
    }

    TestFleet &m_fleet;
    std::size_t m_next = 0;
    int m_ownPart = 100000;
    std::optional<base::Time> m_lateFrom;
};

std::size_t answered(const std::vector<std::shared_ptr<TestFleet::Result>> &results)
{
    return static_cast<std::size_t>(std::ranges::count_if(results, [](const auto &it) { return it->status == 200; }));
}

/// Few endpoints end, and then sound streams are answered while the others still come.
void checkCrashesEnd(TestFleet &fleet, Callers &callers)
{
    CHECK(fleet.crashes() >= 3);
    CHECK(callers.lateSends <= ToleratedSends);
    callers.sound.clear();
    callers.runFor(1s);
    fleet.runFor(StreamTime);
    CHECK(answered(callers.sound) == callers.sound.size());
    CHECK(callers.lateSends <= ToleratedSends);
}

bool allInContact(std::size_t, std::size_t)
{
    return true;
}

} // namespace

TEST_CASE("streams whose prompts have a part that crashes endpoints are refused after few crashes, and sound ones with their other parts are answered")
{
    TestFleet fleet(3, 6, allInContact);
    fleet.runFor(StartTime);
    Callers callers(fleet);
    callers.runSound(1s);
    callers.runFor(3s);
    checkCrashesEnd(fleet, callers);
}

TEST_CASE("streams whose prompts have a part that crashes endpoints are refused by daemons that are in contact through others only")
{
    TestFleet fleet(5, 6, [](std::size_t a, std::size_t b) { return a + 1 == b || b + 1 == a; });
    fleet.runFor(StartTime);
    Callers callers(fleet);
    callers.runSound(1s);
    callers.runFor(3s);
    checkCrashesEnd(fleet, callers);
}

TEST_CASE("daemons that restart one after the other or all at once refuse streams with a part that crashed endpoints before")
{
    TestFleet fleet(3, 6, allInContact);
    fleet.runFor(StartTime);
    Callers callers(fleet);
    callers.runSound(1s);
    callers.runFor(2s);
    for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
        fleet.stopDaemon(n);
        fleet.startDaemon(n);
        fleet.runFor(1s);
        callers.runFor(500ms);
    }
    for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
        fleet.stopDaemon(n);
    }
    for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
        fleet.startDaemon(n);
    }
    fleet.runFor(StartTime);
    checkCrashesEnd(fleet, callers);
}

TEST_CASE("endpoints that are all lost at once for another reason don't lead to refusals of the parts that their streams had in common")
{
    TestFleet fleet(3, 6, allInContact);
    fleet.runFor(StartTime);
    Callers callers(fleet);
    callers.runSound(1s);
    fleet.crashEndpoints();
    fleet.runFor(1s);
    callers.sound.clear();
    callers.runSound(1s);
    fleet.runFor(StreamTime);
    CHECK(answered(callers.sound) == callers.sound.size());
}

TEST_CASE("parts of prompts that were never answered are not refused for long after all endpoints were lost at once")
{
    // All streams are too young to show that their parts don't crash endpoints, and each of them has two parts that are refused then.
    TestFleet fleet(3, 6, allInContact);
    fleet.runFor(StartTime);
    Callers callers(fleet);
    callers.sendSoundAtOnce(60);
    fleet.runFor(300ms);
    fleet.crashEndpoints();
    fleet.runFor(1s);
    callers.runSound(RefusalTime);
    callers.sound.clear();
    callers.runSound(1s);
    fleet.runFor(StreamTime);
    CHECK(answered(callers.sound) == callers.sound.size());
}

TEST_CASE("a part of prompts that endpoints answered lately and that begins to crash them is refused after few crashes")
{
    TestFleet fleet(3, 6, allInContact);
    fleet.runFor(StartTime);
    Callers callers(fleet);
    for (auto &it : fleet.endpoints) {
        it->isCrashing = nullptr;
    }
    callers.runFor(1500ms);
    for (auto &it : fleet.endpoints) {
        it->isCrashing = isCrashing;
    }
    callers.runFor(3s);
    checkCrashesEnd(fleet, callers);
}
