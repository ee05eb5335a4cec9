#include "testfleet.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t DaemonCount = 7;
constexpr std::size_t EndpointCount = 4;
constexpr auto StartTime = 2500ms; ///< until all daemons know each other and the endpoints
constexpr auto ContactTime = 3000ms; ///< from the loss of contact until calls must be served
constexpr auto MeasuredTime = 2000ms;
constexpr auto EndTime = 2500ms; ///< until all calls have ended, which have 2 s

bool allInContact(std::size_t, std::size_t)
{
    return true;
}

/// Callers that send calls of all kinds to all daemons, once each.
class Callers
{
public:
    struct Share
    {
        std::size_t served = 0;
        std::size_t sent = 0;
    };

    explicit Callers(TestFleet &fleet)
        : m_fleet(fleet)
    {
    }

    /// Sends calls and runs all parts for some time.
    void sendFor(base::Duration time)
    {
        constexpr auto CallInterval = 40ms; ///< at each daemon
        const std::vector<std::string> targets = {"/r/x", "/o/x", "/s/x"};
        for (const auto end = base::now() + time; base::now() < end;) {
            for (std::size_t n = 0; n < m_fleet.daemonCount(); ++n) {
                m_calls.push_back({n, m_fleet.call(n, {}, "question", targets[m_calls.size() / m_fleet.daemonCount() % targets.size()])});
            }
            m_fleet.runFor(CallInterval);
        }
    }

    void forget()
    {
        m_calls.clear();
    }

    /// Calls at some daemons that were answered with success.
    Share share(const std::function<bool(std::size_t)> &isCounted) const
    {
        Share it;
        for (const auto &[daemon, result] : m_calls) {
            it.sent += isCounted(daemon) ? 1 : 0;
            it.served += isCounted(daemon) && result->status == 200 ? 1 : 0;
        }
        return it;
    }

    /// Number of calls that daemons refused for a reason.
    std::size_t refused(RejectionReason reason) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_calls, [reason](const auto &it) { return it.result->body == toString(reason); }));
    }

private:
    struct Call
    {
        std::size_t daemon;
        std::shared_ptr<TestFleet::Result> result;
    };

    TestFleet &m_fleet;
    std::vector<Call> m_calls;
};

/// Checks that calls are served at least two thirds as often at the first daemons, which have lost contact, as at the others.
void checkShares(const Callers &callers, std::size_t lostCount)
{
    const auto lost = callers.share([=](std::size_t n) { return n < lostCount; });
    const auto others = callers.share([=](std::size_t n) { return n >= lostCount; });
    MESSAGE("served " << lost.served << " of " << lost.sent << " at daemons without contact, " << others.served << " of " << others.sent << " at the others");
    CHECK(others.served * 10 >= others.sent * 9);
    CHECK(3 * lost.served * others.sent >= 2 * others.served * lost.sent);
}

/// Takes the contact to all endpoints away from the first daemons and counts what is served after the contact time.
/// @param isQuiet whether no calls are sent within the contact time, so that idle connections expire
void checkLostContact(std::size_t lostCount, LinkState state, bool isQuiet = false)
{
    TestFleet fleet(DaemonCount, EndpointCount, allInContact);
    Callers callers(fleet);
    fleet.runFor(StartTime);
    callers.sendFor(500ms);
    for (std::size_t n = 0; n < lostCount; ++n) {
        fleet.setLinks(n, state);
    }
    if (isQuiet) {
        fleet.runFor(ContactTime);
    } else {
        callers.sendFor(ContactTime);
    }
    callers.forget();
    callers.sendFor(MeasuredTime);
    fleet.runFor(EndTime);
    checkShares(callers, lostCount);
}

} // namespace

TEST_CASE("callers of daemons whose connections to all endpoints hang are served")
{
    checkLostContact(4, LinkState::Hanging);
}

TEST_CASE("callers of daemons whose connections to all endpoints are reset are served")
{
    checkLostContact(4, LinkState::Resetting);
}

TEST_CASE("callers of daemons that can open no new connections to endpoints are served")
{
    checkLostContact(4, LinkState::RefusingNew);
}

TEST_CASE("callers of daemons that can open no new connections to endpoints are served after idle connections have expired")
{
    checkLostContact(4, LinkState::RefusingNew, true);
}

TEST_CASE("callers are served while all daemons but one have no contact to endpoints")
{
    checkLostContact(DaemonCount - 1, LinkState::Hanging);
}

TEST_CASE("callers are served while contact to endpoints comes back at one daemon and one endpoint after the other")
{
    constexpr std::size_t LostCount = 4;
    TestFleet fleet(DaemonCount, EndpointCount, allInContact);
    Callers callers(fleet);
    fleet.runFor(StartTime);
    callers.sendFor(500ms);
    for (std::size_t n = 0; n < LostCount; ++n) {
        fleet.setLinks(n, n % 2 == 0 ? LinkState::Hanging : LinkState::Resetting);
    }
    callers.sendFor(ContactTime);
    callers.forget();
    for (std::size_t e = 0; e < EndpointCount; ++e) {
        for (std::size_t n = 0; n < LostCount; ++n) {
            fleet.setLink(n, e, LinkState::Open);
            callers.sendFor(200ms);
        }
    }
    fleet.runFor(EndTime);
    checkShares(callers, LostCount);
}

TEST_CASE("calls that daemons lose with their contact to endpoints do not make other daemons refuse the same content")
{
    constexpr std::size_t LostCount = 4;
    TestFleet fleet(DaemonCount, EndpointCount, allInContact);
    Callers callers(fleet);
    fleet.runFor(StartTime);
    callers.sendFor(500ms);
    callers.forget();
    for (std::size_t n = 0; n < LostCount; ++n) {
        fleet.setLinks(n, LinkState::Resetting);
    }
    callers.sendFor(1500ms);
    fleet.runFor(EndTime);
    const auto others = callers.share([](std::size_t n) { return n >= LostCount; });
    CHECK(callers.refused(RejectionReason::CrashesEndpoints) == 0);
    CHECK(others.served == others.sent);
}

TEST_CASE("no call is refused because of an endpoint that is silent for a second")
{
    TestFleet fleet(DaemonCount, EndpointCount, allInContact);
    Callers callers(fleet);
    fleet.runFor(StartTime);
    callers.sendFor(500ms);
    fleet.endpoints[0]->fallSilentUntil(base::now() + 1s);
    callers.sendFor(2s);
    fleet.runFor(EndTime);
    const auto all = callers.share([](std::size_t) { return true; });
    CHECK(all.served == all.sent);
}
