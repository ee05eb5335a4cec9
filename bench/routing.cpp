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
constexpr base::Duration BeatInterval = std::chrono::seconds(1);
constexpr base::Duration ErrorTime = std::chrono::milliseconds(3); ///< of an endpoint that fails fast
constexpr std::size_t FaultyEndpoint = 1;
constexpr double SlowFactor = 4;
constexpr double EventLoss = 0.05;
constexpr int MostAttempts = 3;
constexpr double FirstTokenLimit = 1500; ///< milliseconds
constexpr double BulkFirstTokenLimit = 10000; ///< milliseconds
constexpr double TokenGapLimit = 44; ///< milliseconds

struct Figures
{
    double attainment = 0;
    double firstTokenP95 = 0; ///< milliseconds, of urgent and normal requests
    double hitRatio = 0; ///< prompt tokens that were cached
};

/// One trace through one policy.
class RoutingRun
{
public:
    RoutingRun(const RoutingSite &site, TraceKind kind, const std::string &policy, unsigned seed)
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
            at(m_trace[n].arrivesAt, [this, n] { send(n, {}, 1); });
        }
        at(TraceStart, [this] { publish(); });
        at(TraceStart, [this] { beat(); });
        if (m_kind == TraceKind::SlowEndpoint) {
            at(TraceStart + FaultFrom, [this] { m_engines[FaultyEndpoint].setSlowness(SlowFactor); });
            at(TraceStart + FaultUntil, [this] { m_engines[FaultyEndpoint].setSlowness(1); });
        }
        while (advance()) {
        }
        return figures();
    }

private:
    struct Event
    {
        base::Time at;
        std::uint64_t order;
        std::function<void()> what;
    };

    struct Later
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
        base::Duration way;
        base::Time firstAt;
    };

    void at(base::Time time, std::function<void()> what)
    {
        m_events.push({time, m_order++, std::move(what)});
    }

    /// Runs whatever is next: an event or the end of an engine's step.
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
        event.what();
        return true;
    }

    base::Duration randomBetween(std::int64_t fromMilliseconds, std::int64_t toMilliseconds)
    {
        return base::Duration(std::uniform_int_distribution<std::int64_t>(fromMilliseconds * 1000, toMilliseconds * 1000)(m_random));
    }

    void publish()
    {
        if (m_now > TraceStart + TraceLength) {
            return;
        }
        for (std::size_t n = 0; n < m_engines.size(); ++n) {
            const auto report = m_engines[n].report(m_now);
            auto events = m_engines[n].takeEvents();
            std::erase_if(events, [&](const routing::CacheEvent &) { return std::uniform_real_distribution<double>(0, 1)(m_random) < EventLoss; });
            for (std::size_t daemon = 0; daemon < m_site.daemons; ++daemon) {
                at(m_now + randomBetween(500, 2000), [this, n, daemon, report, events] {
                    m_policies[daemon]->noteReport(n, report, m_now);
                    m_policies[daemon]->noteEvents(n, events, m_now);
                });
            }
        }
        at(m_now + ReportInterval, [this] { publish(); });
    }

    void beat()
    {
        if (m_now > TraceStart + TraceLength) {
            return;
        }
        for (std::size_t from = 0; from < m_site.daemons; ++from) {
            const auto work = m_policies[from]->workToTell(m_now);
            for (std::size_t to = 0; to < m_site.daemons; ++to) {
                if (to != from) {
                    at(m_now + randomBetween(1, 3), [this, from, to, work] { m_policies[to]->notePeerWork(from, work, m_now); });
                }
            }
        }
        at(m_now + BeatInterval, [this] { beat(); });
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
        const bool isNear = it.daemon % 3 == chosen->endpoint % 3;
        const auto way = isNear ? base::Duration(100) : base::Duration(static_cast<std::int64_t>(m_site.zoneMilliseconds * 1000));
        if (isFailing(chosen->endpoint)) {
            at(m_now + 2 * way + ErrorTime, [this, request, chosen = *chosen, attempt] {
                m_policies[m_trace[request].daemon]->noteEnded(chosen.ticket, routing::AttemptEnd::Failed, m_now);
                if (attempt < MostAttempts) {
                    send(request, {chosen.endpoint}, attempt + 1);
                }
            });
            return;
        }
        const auto number = m_attempts.size();
        m_attempts.push_back({request, it.daemon, chosen->ticket, way, {}});
        at(m_now + way, [this, number, request, endpoint = chosen->endpoint] {
            const auto &model = m_trace[request].route.model;
            const bool isAdapter = m_site.adapterModels.contains(base::AdapterName(model.text()));
            m_engines[endpoint].submit(number, m_trace[request], base::AdapterName(isAdapter ? model.text() : std::string()), m_now);
        });
    }

    void firstToken(std::uint64_t number, base::Time time, std::uint32_t cached)
    {
        m_attempts[number].firstAt = time + m_attempts[number].way;
        m_results[m_attempts[number].request].cachedTokens = cached;
        at(m_attempts[number].firstAt, [this, number] { m_policies[m_attempts[number].daemon]->noteFirstToken(m_attempts[number].ticket, m_now); });
    }

    void ended(std::uint64_t number, base::Time time)
    {
        const auto &it = m_attempts[number];
        const auto &request = m_trace[it.request];
        auto &result = m_results[it.request];
        result.isAnswered = true;
        result.firstTokenMilliseconds = base::inMilliseconds(it.firstAt - request.arrivesAt);
        const auto gaps = std::max<std::uint32_t>(1, request.answerTokens - 1);
        result.tokenGapMilliseconds = base::inMilliseconds(time + it.way - it.firstAt) / gaps;
        at(time + it.way,
           [this, number] { m_policies[m_attempts[number].daemon]->noteEnded(m_attempts[number].ticket, routing::AttemptEnd::Answered, m_now); });
    }

    Figures figures() const
    {
        std::vector<double> firstTokens;
        double inTime = 0;
        double cached = 0;
        double prompts = 0;
        for (std::size_t n = 0; n < m_trace.size(); ++n) {
            const auto &result = m_results[n];
            const bool isBulk = m_trace[n].route.priority == base::Priority::Bulk;
            const bool isFirstInTime = result.firstTokenMilliseconds <= (isBulk ? BulkFirstTokenLimit : FirstTokenLimit);
            inTime += result.isAnswered && isFirstInTime && result.tokenGapMilliseconds <= TokenGapLimit ? 1 : 0;
            cached += result.cachedTokens;
            prompts += m_trace[n].route.promptTokens;
            if (!isBulk) {
                firstTokens.push_back(result.isAnswered ? result.firstTokenMilliseconds : 1e6);
            }
        }
        std::ranges::sort(firstTokens);
        return {inTime / static_cast<double>(m_trace.size()), firstTokens[firstTokens.size() * 95 / 100], cached / prompts};
    }

    const RoutingSite &m_site;
    TraceKind m_kind;
    std::mt19937_64 m_random;
    std::vector<TraceRequest> m_trace;
    std::vector<RequestResult> m_results;
    std::vector<FakeEngine> m_engines;
    std::vector<std::unique_ptr<RoutingPolicy>> m_policies;
    std::vector<Attempt> m_attempts;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    std::uint64_t m_order = 0;
    base::Time m_now = TraceStart;
};

void compare(const RoutingSite &site, TraceKind kind, unsigned seed)
{
    std::map<std::string, Figures> all;
    for (const auto &policy : routingPolicyNames()) {
        all[policy] = RoutingRun(site, kind, policy, seed).run();
    }
    Figures best{0, 1e9, 0};
    for (const auto &[policy, it] : all) {
        if (policy != "ours") {
            best.attainment = std::max(best.attainment, it.attainment);
            best.firstTokenP95 = std::min(best.firstTokenP95, it.firstTokenP95);
        }
    }
    const auto show = [](double value) {
        return std::to_string(value);
    };
    for (const auto &policy : routingPolicyNames()) {
        const auto name = site.name + '.' + toString(kind) + '.' + policy;
        const bool isOurs = policy == "ours";
        printFigure("routing.attainment." + name, all[policy].attainment, "share", isOurs ? ">= " + show(best.attainment) : "-");
        printFigure("routing.ttft_p95." + name, all[policy].firstTokenP95, "ms", isOurs ? "<= " + show(best.firstTokenP95) : "-");
        printFigure("routing.prefix_hit_ratio." + name, all[policy].hitRatio, "share", "-");
    }
}

constexpr std::size_t CellCount = 50;
constexpr std::size_t CellEndpoints = 150;
constexpr std::size_t CellModels = 60;
constexpr std::size_t AllEndpoints = 7200;
constexpr std::size_t AllModels = 1300;

/// The directory of the target: every model stands in a few cells.
membership::CellDirectory wholeDirectory(std::mt19937_64 &random)
{
    membership::CellDirectory directory(base::CellName("own"), "r-0");
    for (std::size_t cell = 0; cell < CellCount; ++cell) {
        membership::CellSummary it;
        it.cell = base::CellName("cell-" + std::to_string(cell));
        it.region = "r-" + std::to_string(cell % 3);
        it.sequence = 1;
        it.entries = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
        it.load = std::uniform_real_distribution<double>(0, 1)(random);
        for (std::size_t n = 0; n < CellModels; ++n) {
            it.models.emplace_back("model-" + std::to_string((cell * AllModels / CellCount + n) % AllModels));
        }
        directory.noteSummary(it, TraceStart);
    }
    return directory;
}

/// Time of one decision, in microseconds.
/// @param directory asked first for every request if there is one
double decisionP99(std::size_t endpoints, std::size_t models, const membership::CellDirectory *directory, unsigned seed)
{
    routing::Router router;
    std::mt19937_64 random(seed);
    std::vector<routing::RoutableEndpoint> all;
    std::vector<base::ModelName> names;
    for (std::size_t n = 0; n < models; ++n) {
        names.emplace_back("model-" + std::to_string(n));
    }
    for (std::size_t n = 0; n < endpoints; ++n) {
        all.push_back({base::EndpointId("endpoint-" + std::to_string(n)), {}, base::ZoneName("r/" + std::to_string(n % 3)), 16});
    }
    router.setEndpoints(all);
    router.setModels(names, {});
    for (std::size_t n = 0; n < endpoints; ++n) {
        routing::LoadReport report;
        report.incarnation = base::Incarnation(1);
        report.takenAt = TraceStart;
        for (int k = 0; k < 4; ++k) {
            report.resident.push_back({names[random() % models], "1"});
        }
        report.resident.push_back({names[n % models], "1"});
        router.noteReport(all[n].id, report, TraceStart);
    }
    constexpr int Decisions = 50000;
    std::vector<double> times;
    std::vector<routing::Ticket> running;
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
            running.push_back(choice->ticket);
        }
        if (running.size() > 8 * endpoints) {
            const auto index = random() % running.size();
            router.noteFirstToken(running[index], now);
            router.noteEnded(running[index], routing::AttemptEnd::Answered, now);
            running[index] = running.back();
            running.pop_back();
        }
    }
    std::ranges::sort(times);
    return spills > Decisions ? 0 : times[times.size() * 99 / 100];
}

void runRouting(unsigned seed)
{
    std::mt19937_64 random(seed);
    const auto directory = wholeDirectory(random);
    const auto cell = decisionP99(CellEndpoints, CellModels, nullptr, seed);
    printFigure("routing.decision_p99", cell, "us", "<= 10");
    printFigure("routing.decision_p99_with_directory", decisionP99(CellEndpoints, CellModels, &directory, seed), "us", "<= " + std::to_string(2 * cell));
    printFigure("routing.decision_p99_one_router_for_all", decisionP99(AllEndpoints, AllModels, nullptr, seed), "us", "-");
    for (const auto &site : {txCentral(), qcEst()}) {
        for (const auto kind : {TraceKind::Conversations, TraceKind::Bursts, TraceKind::SlowEndpoint, TraceKind::FailingEndpoint}) {
            compare(site, kind, seed);
        }
    }
}

const Section routingSection("routing", runRouting);

} // namespace

} // namespace turmericplank::bench
