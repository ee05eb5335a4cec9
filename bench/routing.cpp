#include <algorithm>
#include <chrono>
#include <functional>
#include <queue>

#include "routingpolicies.hpp"
#include "section.hpp"
#include "turmericplank/membership/celldirectory.hpp"

namespace turmericplank::bench {

namespace {

constexpr base::Duration ReportInterval = std::chrono::milliseconds(500);
constexpr base::Duration HeartbeatInterval = std::chrono::seconds(1);
constexpr base::Duration ErrorTime = std::chrono::milliseconds(3); ///< time that a failing endpoint takes to answer with an error
constexpr std::size_t FaultyEndpoint = 1;
constexpr double SlowFactor = 4; ///< factor on the step times of the slow endpoint
constexpr double EventLossProbability = 0.05; ///< of each cache event
constexpr int MaxAttempts = 3;
constexpr double FirstTokenLimit = 1500; ///< milliseconds
constexpr double BulkFirstTokenLimit = 10000; ///< milliseconds
constexpr double TokenGapLimit = 44; ///< milliseconds, mean of a request

struct Figures
{
    double attainment = 0; ///< share of the requests whose first token and mean token gap were within the limits
    double firstTokenP95 = 0; ///< milliseconds, over urgent and normal requests
    double hitRatio = 0; ///< share of the prompt tokens that were cached
};

/// Simulates one trace with one policy.
class RoutingSimulation
{
public:
    RoutingSimulation(const RoutingSite &site, TraceKind kind, const std::string &policy, unsigned seed)
        : m_site(site)
        , m_kind(kind)
        , m_random(seed + 1000)
        , m_trace(makeTrace(site, kind, seed))
        , m_results(m_trace.size())
    {
        for (std::size_t n = 0; n < site.endpoints; ++n) {
            FakeEngine::Hooks hooks;
            hooks.onFirstToken = [this](std::uint64_t attempt, base::Time at, std::uint32_t cached) {
                firstToken(attempt, at, cached);
            };
            hooks.onEnd = [this](std::uint64_t attempt, base::Time at) {
                ended(attempt, at);
            };
            m_engines.emplace_back(FakeEngineOptions(), site.residents[n], hooks);
        }
        for (std::size_t n = 0; n < site.daemons; ++n) {
            m_policies.push_back(makeRoutingPolicy(policy, site, n, seed * 100 + static_cast<unsigned>(n)));
            for (std::size_t k = 0; k < site.endpoints; ++k) {
                m_policies[n]->noteReport(k, m_engines[k].report(TraceStart), TraceStart);
            }
        }
    }

    Figures run()
    {
        for (std::size_t n = 0; n < m_trace.size(); ++n) {
            schedule(m_trace[n].arrivesAt, [this, n] { send(n, {}, 1); });
        }
        schedule(TraceStart, [this] { publishReports(); });
        schedule(TraceStart, [this] { sendHeartbeats(); });
        if (m_kind == TraceKind::SlowEndpoint) {
            schedule(TraceStart + FaultFrom, [this] { m_engines[FaultyEndpoint].setSlowness(SlowFactor); });
            schedule(TraceStart + FaultUntil, [this] { m_engines[FaultyEndpoint].setSlowness(1); });
        }
        while (advance()) {
        }
        return figures();
    }

private:
    struct Event
    {
        base::Time at;
        std::uint64_t order; ///< keeps the order of events with the same time
        std::function<void()> action;
    };

    struct IsLater
    {
        bool operator()(const Event &a, const Event &b) const
        {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    struct Attempt
    {
        std::size_t request;
        std::size_t daemon;
        std::uint64_t ticket;
        base::Duration networkDelay; ///< one way
        base::Time firstTokenAt; ///< at the daemon
    };

    void schedule(base::Time time, std::function<void()> action)
    {
        m_events.push({time, m_order++, std::move(action)});
    }

    /// Handles the next event or the next end of an engine's step.
    /// @return false if there is neither
    bool advance()
    {
        auto engine = m_engines.begin();
        for (auto it = m_engines.begin(); it != m_engines.end(); ++it) {
            engine = it->stepEndsAt() < engine->stepEndsAt() ? it : engine;
        }
        const bool hasEvent = !m_events.empty();
        if (engine->stepEndsAt() != base::Time::max() && (!hasEvent || engine->stepEndsAt() <= m_events.top().at)) {
            m_now = engine->stepEndsAt();
            engine->finishStep();
            return true;
        }
        if (!hasEvent) {
            return false;
        }
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
        return true;
    }

    base::Duration randomBetween(std::int64_t fromMilliseconds, std::int64_t toMilliseconds)
    {
        return base::Duration(std::uniform_int_distribution<std::int64_t>(fromMilliseconds * 1000, toMilliseconds * 1000)(m_random));
    }

    void publishReports()
    {
        if (m_now > TraceStart + TraceLength) {
            return;
        }
        for (std::size_t n = 0; n < m_engines.size(); ++n) {
            const auto report = m_engines[n].report(m_now);
            auto events = m_engines[n].takeEvents();
            std::erase_if(events, [&](const routing::CacheEvent &) { return std::uniform_real_distribution<double>(0, 1)(m_random) < EventLossProbability; });
            for (std::size_t daemon = 0; daemon < m_site.daemons; ++daemon) {
                schedule(m_now + randomBetween(500, 2000), [this, n, daemon, report, events] {
                    m_policies[daemon]->noteReport(n, report, m_now);
                    m_policies[daemon]->noteEvents(n, events, m_now);
                });
            }
        }
        schedule(m_now + ReportInterval, [this] { publishReports(); });
    }

    void sendHeartbeats()
    {
        if (m_now > TraceStart + TraceLength) {
            return;
        }
        for (std::size_t from = 0; from < m_site.daemons; ++from) {
            const auto work = m_policies[from]->workForHeartbeat(m_now);
            for (std::size_t to = 0; to < m_site.daemons; ++to) {
                if (to != from) {
                    schedule(m_now + randomBetween(1, 3), [this, from, to, work] { m_policies[to]->notePeerWork(from, work, m_now); });
                }
            }
        }
        schedule(m_now + HeartbeatInterval, [this] { sendHeartbeats(); });
    }

    bool isFailing(std::size_t endpoint) const
    {
        return m_kind == TraceKind::FailingEndpoint && endpoint == FaultyEndpoint && m_now >= TraceStart + FaultFrom && m_now < TraceStart + FaultUntil;
    }

    void send(std::size_t request, const std::vector<std::size_t> &excluded, int attempt)
    {
        const auto &it = m_trace[request];
        const auto chosen = m_policies[it.daemon]->choose(it, excluded, m_now);
        if (!chosen) {
            return;
        }
        const bool isSameZone = it.daemon % 3 == chosen->endpoint % 3;
        const auto networkDelay = isSameZone ? base::Duration(100) : base::Duration(static_cast<std::int64_t>(m_site.zoneDelayMilliseconds * 1000));
        if (isFailing(chosen->endpoint)) {
            schedule(m_now + 2 * networkDelay + ErrorTime, [this, request, chosen = *chosen, attempt] {
                m_policies[m_trace[request].daemon]->noteEnded(chosen.ticket, routing::AttemptOutcome::Failed, m_now);
                if (attempt < MaxAttempts) {
                    send(request, {chosen.endpoint}, attempt + 1);
                }
            });
            return;
        }
        const auto number = m_attempts.size();
        m_attempts.push_back({request, it.daemon, chosen->ticket, networkDelay, {}});
        schedule(m_now + networkDelay, [this, number, request, endpoint = chosen->endpoint] {
            const auto &model = m_trace[request].route.model;
            const bool isAdapter = m_site.adapterModels.contains(base::AdapterName(model.text()));
            m_engines[endpoint].submit(number, m_trace[request], base::AdapterName(isAdapter ? model.text() : std::string()), m_now);
        });
    }

    void firstToken(std::uint64_t number, base::Time time, std::uint32_t cached)
    {
        m_attempts[number].firstTokenAt = time + m_attempts[number].networkDelay;
        m_results[m_attempts[number].request].cachedTokens = cached;
        schedule(m_attempts[number].firstTokenAt, [this, number] { m_policies[m_attempts[number].daemon]->noteFirstToken(m_attempts[number].ticket, m_now); });
    }

    void ended(std::uint64_t number, base::Time time)
    {
        const auto &it = m_attempts[number];
        const auto &request = m_trace[it.request];
        auto &result = m_results[it.request];
        result.isAnswered = true;
        result.firstTokenMilliseconds = base::inMilliseconds(it.firstTokenAt - request.arrivesAt);
        const auto gaps = std::max<std::uint32_t>(1, request.answerTokens - 1);
        result.tokenGapMilliseconds = base::inMilliseconds(time + it.networkDelay - it.firstTokenAt) / gaps;
        schedule(time + it.networkDelay,
                 [this, number] { m_policies[m_attempts[number].daemon]->noteEnded(m_attempts[number].ticket, routing::AttemptOutcome::Answered, m_now); });
    }

    Figures figures() const
    {
        std::vector<double> firstTokens;
        double onTime = 0;
        double cached = 0;
        double prompts = 0;
        for (std::size_t n = 0; n < m_trace.size(); ++n) {
            const auto &result = m_results[n];
            const bool isBulk = m_trace[n].route.priority == base::Priority::Bulk;
            const bool isFirstTokenOnTime = result.firstTokenMilliseconds <= (isBulk ? BulkFirstTokenLimit : FirstTokenLimit);
            onTime += result.isAnswered && isFirstTokenOnTime && result.tokenGapMilliseconds <= TokenGapLimit ? 1 : 0;
            cached += result.cachedTokens;
            prompts += m_trace[n].route.promptTokens;
            if (!isBulk) {
                firstTokens.push_back(result.isAnswered ? result.firstTokenMilliseconds : 1e6);
            }
        }
        std::ranges::sort(firstTokens);
        return {onTime / static_cast<double>(m_trace.size()), firstTokens[firstTokens.size() * 95 / 100], cached / prompts};
    }

    const RoutingSite &m_site;
    TraceKind m_kind;
    std::mt19937_64 m_random;
    std::vector<TraceRequest> m_trace;
    std::vector<RequestResult> m_results;
    std::vector<FakeEngine> m_engines;
    std::vector<std::unique_ptr<RoutingPolicy>> m_policies;
    std::vector<Attempt> m_attempts;
    std::priority_queue<Event, std::vector<Event>, IsLater> m_events;
    std::uint64_t m_order = 0;
    base::Time m_now = TraceStart;
};

void comparePolicies(const RoutingSite &site, TraceKind kind, unsigned seed)
{
    std::map<std::string, Figures> figures;
    for (const auto &policy : routingPolicyNames()) {
        figures[policy] = RoutingSimulation(site, kind, policy, seed).run();
    }
    Figures best{0, 1e9, 0};
    for (const auto &[policy, it] : figures) {
        if (policy != "ours") {
            best.attainment = std::max(best.attainment, it.attainment);
            best.firstTokenP95 = std::min(best.firstTokenP95, it.firstTokenP95);
        }
    }
    const auto format = [](double value) {
        return std::to_string(value);
    };
    for (const auto &policy : routingPolicyNames()) {
        const auto name = site.name + '.' + toString(kind) + '.' + policy;
        const bool isOurs = policy == "ours";
        printFigure("routing.attainment." + name, figures[policy].attainment, "share", isOurs ? ">= " + format(best.attainment) : "-");
        printFigure("routing.ttft_p95." + name, figures[policy].firstTokenP95, "ms", isOurs ? "<= " + format(best.firstTokenP95) : "-");
        printFigure("routing.prefix_hit_ratio." + name, figures[policy].hitRatio, "share", "-");
    }
}

constexpr std::size_t CellCount = 50;
constexpr std::size_t CellEndpoints = 150;
constexpr std::size_t CellModels = 60;
constexpr std::size_t FleetEndpoints = 7200;
constexpr std::size_t FleetModels = 1300;

/// Cell directory of the target fleet, in which every model is resident in a few cells.
membership::CellDirectory makeTargetDirectory(std::mt19937_64 &random)
{
    membership::CellDirectory directory(base::CellName("own"), "r-0");
    for (std::size_t cell = 0; cell < CellCount; ++cell) {
        membership::CellSummary summary;
        summary.cell = base::CellName("cell-" + std::to_string(cell));
        summary.region = "r-" + std::to_string(cell % 3);
        summary.sequence = 1;
        summary.entries = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
        summary.load = std::uniform_real_distribution<double>(0, 1)(random);
        for (std::size_t n = 0; n < CellModels; ++n) {
            summary.models.emplace_back("model-" + std::to_string((cell * FleetModels / CellCount + n) % FleetModels));
        }
        directory.noteSummary(summary, TraceStart);
    }
    return directory;
}

/// 99th percentile of the time of one decision, in microseconds.
/// @param directory directory that is asked before each decision, `nullptr` for none
double decisionP99(std::size_t endpoints, std::size_t models, const membership::CellDirectory *directory, unsigned seed)
{
    routing::Router router;
    std::mt19937_64 random(seed);
    std::vector<routing::RoutableEndpoint> routable;
    std::vector<base::ModelName> names;
    for (std::size_t n = 0; n < models; ++n) {
        names.emplace_back("model-" + std::to_string(n));
    }
    for (std::size_t n = 0; n < endpoints; ++n) {
        routable.push_back({base::EndpointId("endpoint-" + std::to_string(n)), {}, base::ZoneName("r/" + std::to_string(n % 3)), 16});
    }
    router.setEndpoints(routable);
    router.setModels(names, {});
    for (std::size_t n = 0; n < endpoints; ++n) {
        routing::LoadReport report;
        report.incarnation = base::Incarnation(1);
        report.takenAt = TraceStart;
        for (int k = 0; k < 4; ++k) {
            report.resident.push_back({names[random() % models], "1"});
        }
        report.resident.push_back({names[n % models], "1"});
        router.noteReport(routable[n].id, report, TraceStart);
    }
    constexpr int Decisions = 50000;
    std::vector<double> times;
    std::vector<routing::Ticket> inProgress;
    std::size_t spills = 0;
    auto now = TraceStart;
    for (int n = 0; n < Decisions; ++n) {
        now += std::chrono::milliseconds(1);
        routing::RouteRequest request;
        request.model = names[random() % models];
        const auto conversation = random() % 2000;
        for (std::uint32_t k = 1; k <= 12; ++k) {
            request.prefixes.push_back({conversation * 100 + k, k * 200});
        }
        request.promptTokens = 2400;
        const auto begin = std::chrono::steady_clock::now();
        if (directory != nullptr) {
            spills += directory->isSpillWorthwhile(request.model, 0.5, TraceStart) ? 1 : 0;
        }
        const auto choice = router.choose(request, now, random);
        times.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
        if (choice) {
            router.noteSent(*choice, request, now);
            inProgress.push_back(choice->ticket);
        }
        if (inProgress.size() > 8 * endpoints) {
            const auto index = random() % inProgress.size();
            router.noteFirstToken(inProgress[index], now);
            router.noteEnded(inProgress[index], routing::AttemptOutcome::Answered, now);
            inProgress[index] = inProgress.back();
            inProgress.pop_back();
        }
    }
    std::ranges::sort(times);
    // Uses the number of spills so that the compiler cannot drop the calls.
    return spills > Decisions ? 0 : times[times.size() * 99 / 100];
}

void runRouting(unsigned seed)
{
    std::mt19937_64 random(seed);
    const auto directory = makeTargetDirectory(random);
    const auto cell = decisionP99(CellEndpoints, CellModels, nullptr, seed);
    printFigure("routing.decision_p99", cell, "us", "<= 10");
    printFigure("routing.decision_p99_with_directory", decisionP99(CellEndpoints, CellModels, &directory, seed), "us", "<= " + std::to_string(2 * cell));
    printFigure("routing.decision_p99_one_router_for_all", decisionP99(FleetEndpoints, FleetModels, nullptr, seed), "us", "-");
    for (const auto &site : {txCentral(), qcEst()}) {
        for (const auto kind : {TraceKind::Conversations, TraceKind::Bursts, TraceKind::SlowEndpoint, TraceKind::FailingEndpoint}) {
            comparePolicies(site, kind, seed);
        }
    }
}

const Section routingSection("routing", runRouting);

} // namespace

} // namespace turmericplank::bench
