#include "turmericplank/gateway/ratelimits.hpp"

#include <deque>

#include "testfleet.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t DaemonCount = 7;
constexpr auto StartTime = 2500ms; ///< until all daemons know each other and the endpoints
constexpr auto NoticeTime = 3000ms; ///< from the first statement until the limit binds
constexpr auto Window = 4s;
constexpr double ToleratedFactor = 1.5; ///< of what the limit allows in a window
constexpr double ToleratedCalls = 5; ///< beyond that

bool allInContact(std::size_t, std::size_t)
{
    return true;
}

/// Makes an endpoint answer at once, and state how many calls a second it takes.
class LimitingEndpoint
{
public:
    explicit LimitingEndpoint(CrashingEndpoint &endpoint)
    {
        endpoint.handleInstead = [this](const net::ExchangePointer &exchange) {
            handle(exchange);
        };
    }

    void setLimit(double callsPerSecond)
    {
        m_limit = callsPerSecond;
        m_bindsFrom = base::now() + NoticeTime;
        m_arrivals.clear();
        maxExcess = 0;
    }

    void endLimit()
    {
        m_limit.reset();
    }

    /// Calls that have arrived since the limit binds.
    std::size_t arrivals() const
    {
        return m_total;
    }

    void resetArrivals()
    {
        m_total = 0;
    }

    double maxExcess = 0; ///< most calls in a window beyond what is tolerated

private:
    void handle(const net::ExchangePointer &exchange)
    {
        const auto now = base::now();
        ++m_total;
        net::Headers headers{{"Request-Id", std::string(header(exchange->request().headers, "Request-Id"))}, {"Server-Seal", "seal"}};
        if (m_limit) {
            headers.push_back({"Calls-Per-Second", std::to_string(*m_limit)});
            m_arrivals.push_back(now);
            while (m_arrivals.front() + Window <= now) {
                m_arrivals.pop_front();
            }
            const double tolerated = ToleratedFactor * *m_limit * std::chrono::duration<double>(Window).count() + ToleratedCalls;
            if (now >= m_bindsFrom) {
                maxExcess = std::max(maxExcess, static_cast<double>(m_arrivals.size()) - tolerated);
            }
        }
        exchange->respond({200, headers, "done"});
    }

    std::optional<double> m_limit;
    base::Time m_bindsFrom;
    std::deque<base::Time> m_arrivals; ///< within a window
    std::size_t m_total = 0;
};

/// Callers at some daemons.
class Callers
{
public:
    explicit Callers(TestFleet &fleet)
        : m_fleet(fleet)
    {
    }

    /// Sends one call to each of the daemons in each interval.
    void sendFor(base::Duration time, base::Duration interval, std::size_t firstDaemon, std::size_t daemonCount)
    {
        for (const auto end = base::now() + time; base::now() < end;) {
            for (std::size_t n = firstDaemon; n < firstDaemon + daemonCount; ++n) {
                m_calls.push_back(m_fleet.call(n, {}, "question"));
            }
            m_fleet.runFor(interval);
        }
    }

    double servedShare() const
    {
        const auto served = std::ranges::count_if(m_calls, [](const auto &it) { return it->status == 200; });
        return static_cast<double>(served) / static_cast<double>(m_calls.size());
    }

private:
    TestFleet &m_fleet;
    std::vector<std::shared_ptr<TestFleet::Result>> m_calls;
};

} // namespace

TEST_CASE("an endpoint that states a limit does not get more calls from all daemons together, and others serve the rest")
{
    TestFleet fleet(DaemonCount, 2, allInContact);
    LimitingEndpoint limited(*fleet.endpoints[0]);
    fleet.runFor(StartTime);
    Callers callers(fleet);
    callers.sendFor(1s, 300ms, 0, DaemonCount);
    limited.setLimit(1.5);
    callers.sendFor(9s, 300ms, 0, DaemonCount);
    CHECK(limited.maxExcess <= 0);
    CHECK(callers.servedShare() == 1);
}

TEST_CASE("a limit is kept while daemons start again and callers move from one daemon to another")
{
    TestFleet fleet(DaemonCount, 1, allInContact);
    LimitingEndpoint limited(*fleet.endpoints[0]);
    fleet.runFor(StartTime);
    limited.setLimit(2);
    Callers callers(fleet);
    callers.sendFor(4s, 100ms, 0, 1);
    callers.sendFor(2s, 100ms, 3, 1);
    for (std::size_t n = 0; n < 3; ++n) {
        fleet.stopDaemon(n);
    }
    callers.sendFor(1s, 100ms, 3, 4);
    for (std::size_t n = 0; n < 3; ++n) {
        fleet.startDaemon(n);
    }
    callers.sendFor(4s, 200ms, 0, DaemonCount);
    CHECK(limited.maxExcess <= 0);
}

TEST_CASE("a daemon that has all callers may use nearly all of a limit")
{
    TestFleet fleet(DaemonCount, 1, allInContact);
    LimitingEndpoint limited(*fleet.endpoints[0]);
    fleet.runFor(StartTime);
    limited.setLimit(4);
    Callers callers(fleet);
    callers.sendFor(5s, 50ms, 0, 1);
    limited.resetArrivals();
    callers.sendFor(10s, 50ms, 0, 1);
    CHECK(limited.maxExcess <= 0);
    CHECK(limited.arrivals() >= 36);
}

TEST_CASE("a limit ends when answers no longer state it")
{
    TestFleet fleet(DaemonCount, 1, allInContact);
    LimitingEndpoint limited(*fleet.endpoints[0]);
    fleet.runFor(StartTime);
    limited.setLimit(2);
    Callers callers(fleet);
    callers.sendFor(3s, 100ms, 0, DaemonCount);
    limited.endLimit();
    callers.sendFor(2s, 100ms, 0, DaemonCount);
    Callers later(fleet);
    later.sendFor(1s, 100ms, 0, DaemonCount);
    fleet.runFor(100ms);
    CHECK(later.servedShare() == 1);
}
