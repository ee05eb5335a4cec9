#include "turmericplank/gateway/rejectionlimits.hpp"

#include <deque>

#include "testfleet.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 2500ms; ///< until all daemons know each other and the endpoints
constexpr auto NoticeTime = 3000ms; ///< from the first statement until endpoints let fewer calls wait and may fail
constexpr auto LoadTime = 6s;
constexpr std::uint32_t Slots = 16; ///< as the entries say
constexpr auto WorkTime = 200ms;
constexpr auto CallInterval = 2ms; ///< two endpoints can serve 160 calls per second
constexpr std::uint32_t Tolerance = 3; ///< rejections per second
constexpr std::size_t ToleratedCrashes = 2;

/// Makes an endpoint run a limited number of calls, reject the others, and crash after too many rejections within a second.
class RejectingEndpoint
{
public:
    RejectingEndpoint(CrashingEndpoint &endpoint, bool isStated)
        : m_endpoint(endpoint)
        , m_isStated(isStated)
    {
        endpoint.handleInstead = [this](const net::ExchangePointer &exchange) {
            handle(exchange);
        };
    }

    /// Answers the calls that have run.
    void finishCalls()
    {
        while (!m_running.empty() && base::now() >= m_running.front().endsAt) {
            m_running.front().exchange->respond({200, headers(*m_running.front().exchange), "done"});
            m_running.pop_front();
            ++answered;
        }
    }

    std::size_t answered = 0;
    base::Time mayCrashFrom; ///< before that, calls wait until they run

private:
    struct Running
    {
        net::ExchangePointer exchange;
        base::Time endsAt;
    };

    net::Headers headers(const net::HttpExchange &exchange) const
    {
        net::Headers all{{"Request-Id", std::string(header(exchange.request().headers, "Request-Id"))}, {"Server-Seal", "seal"}};
        if (m_isStated) {
            all.push_back({"Tolerance", std::to_string(Tolerance)});
        }
        return all;
    }

    void handle(const net::ExchangePointer &exchange)
    {
        if (m_endpoint.crashes < m_crashes) {
            return;
        }
        const auto now = base::now();
        if (m_running.size() < Slots) {
            m_running.push_back({exchange, now + WorkTime});
            return;
        }
        auto rejection = headers(*exchange);
        rejection.push_back({"Not-Executed", "1"});
        exchange->respond({503, std::move(rejection), {}});
        m_rejections.push_back(now);
        std::erase_if(m_rejections, [&](base::Time it) { return it + 1s <= now; });
        if (now >= mayCrashFrom && m_rejections.size() > Tolerance) {
            m_rejections.clear();
            m_running.clear();
            m_crashes = m_endpoint.crashes + 1;
            m_endpoint.crashNow();
        }
    }

    CrashingEndpoint &m_endpoint;
    bool m_isStated; ///< whether answers state the tolerance
    std::size_t m_crashes = 0; ///< including one that is about to happen
    std::deque<Running> m_running;
    std::deque<base::Time> m_rejections;
};

struct Outcome
{
    std::size_t crashes = 0;
    std::size_t answered = 0; ///< while endpoints may crash
};

/// Sends more calls to all daemons than the endpoints can run.
Outcome overload(TestFleet &fleet, bool isStated)
{
    std::deque<RejectingEndpoint> endpoints;
    for (auto &it : fleet.endpoints) {
        endpoints.emplace_back(*it, isStated);
        endpoints.back().mayCrashFrom = base::now() + StartTime + NoticeTime;
    }
    fleet.runFor(StartTime);
    std::size_t before = 0;
    const auto start = base::now();
    std::size_t sent = 0;
    while (base::now() < start + NoticeTime + LoadTime) {
        const auto due = static_cast<std::size_t>((base::now() - start) / CallInterval);
        for (; sent < due; ++sent) {
            fleet.call(sent % fleet.daemonCount(), {}, "call");
        }
        fleet.runFor(2ms);
        for (auto &it : endpoints) {
            it.finishCalls();
        }
        if (base::now() < start + NoticeTime) {
            before = endpoints[0].answered + endpoints[1].answered;
        }
    }
    const Outcome outcome{fleet.crashes(), endpoints[0].answered + endpoints[1].answered - before};
    for (auto &it : fleet.endpoints) {
        it->handleInstead = nullptr;
    }
    return outcome;
}

} // namespace

TEST_CASE("endpoints that state how many rejections they survive keep running under overload")
{
    TestFleet fleet(4, 2, [](std::size_t, std::size_t) { return true; });
    const auto outcome = overload(fleet, true);
    CHECK(outcome.crashes <= ToleratedCrashes);
    const auto capacity = static_cast<std::size_t>(2 * Slots * (LoadTime / WorkTime));
    CHECK(outcome.answered * 4 >= capacity * 3);
}

TEST_CASE("the same load makes endpoints fail that do not state it")
{
    TestFleet fleet(4, 2, [](std::size_t, std::size_t) { return true; });
    CHECK(overload(fleet, false).crashes > ToleratedCrashes);
}
