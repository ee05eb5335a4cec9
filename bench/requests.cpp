#include <algorithm>
#include <chrono>
#include <queue>
#include <random>

#include "../src/turmericplank/requests/simulationevents.hpp"
#include "milliseconds.hpp"
#include "requestbookings.hpp"
#include "section.hpp"

namespace turmericplank::bench {

namespace {

using namespace requests;
using fake::Simulation;
using fake::Violation;

// ---- guarantees under faults

void measureGuarantees(unsigned seed)
{
    constexpr int Sequences = 300;
    constexpr int Steps = 300;
    std::mt19937_64 random(seed);
    std::map<Violation, int> violations;
    std::uint64_t submissions = 0;
    for (int n = 0; n < Sequences; ++n) {
        Simulation simulation({.daemons = 2 + static_cast<std::size_t>(n % 3)});
        for (int step = 0; step < Steps; ++step) {
            const auto &kind = fake::simulationEvents()[fake::weightedEventIndexes()[random() % fake::weightedEventIndexes().size()]];
            kind.effect(simulation, static_cast<unsigned>(random() % 10000));
        }
        simulation.settle();
        submissions += simulation.oracle.submissions.size();
        for (const auto it : simulation.oracle.violations) {
            ++violations[it];
        }
    }
    printFigure("requests.submissions_under_faults", static_cast<double>(submissions), "calls", "-");
    printFigure("requests.double_runs", violations[Violation::DoubleRun], "calls", "0");
    printFigure("requests.false_not_run", violations[Violation::FalseNotRun], "calls", "0");
    printFigure("requests.wrong_answers", violations[Violation::WrongAnswer], "calls", "0");
    printFigure("requests.unfinished", violations[Violation::Unfinished], "calls", "0");
}

// ---- a request that crashes endpoints, among forty others

void measurePoison(unsigned seed)
{
    constexpr unsigned OtherRequests = 40;
    constexpr std::size_t Daemons = 8;
    constexpr int Rounds = 50;
    std::mt19937_64 random(seed);
    unsigned maxEndpointsLost = 0;
    double otherRequests = 0;
    double answered = 0;
    for (int round = 0; round < Rounds; ++round) {
        Simulation simulation({.daemons = Daemons, .endpoints = 12});
        for (unsigned n = 1; n <= OtherRequests; ++n) {
            // These contents all differ and have a deadline of 16 s.
            simulation.submit(random(), RequestKind::Model, 3 + 4 * n, "");
        }
        simulation.flow(1 + static_cast<unsigned>(random() % 3));
        for (int resend = 0; resend < 6; ++resend) {
            fake::sendPoison(simulation, static_cast<unsigned>(random() % 10000) * 2);
            for (int n = 0; n < 40; ++n) {
                simulation.flow(1);
                simulation.advance(20);
            }
        }
        simulation.settle();
        maxEndpointsLost = std::max(maxEndpointsLost, simulation.oracle.endpointsLost[Simulation::PoisonContent]);
        for (const auto &[call, it] : simulation.oracle.submissions) {
            otherRequests += it.isPoison ? 0 : 1;
            answered += !it.isPoison && it.isComplete ? 1 : 0;
        }
    }
    printFigure("requests.poison_endpoints_lost", maxEndpointsLost, "endpoints", "<= 2");
    printFigure("requests.innocents_answered", answered / otherRequests, "share", "1");
}

// ---- one daemon whose endpoints have a service time

/// One dispatcher in virtual time whose calls are answered after a random service time or fail.
class SimulatedDaemon
{
public:
    struct EndedCall
    {
        base::Priority priority;
        base::Time arrivedAt;
        base::Time deadline;
        base::Time endedAt;
        bool isAnswered = false;
    };

    SimulatedDaemon(unsigned seed, std::uint32_t capacity, std::size_t endpoints, std::size_t failing)
        : m_random(seed)
    {
        DispatcherOptions options;
        options.choose = [this, endpoints](const ChoiceQuery &query, base::Time) -> std::optional<EndpointChoice> {
            base::EndpointId id;
            do {
                id = base::EndpointId(std::to_string(m_random() % endpoints));
            } while (std::find(query.avoid.begin(), query.avoid.end(), id) != query.avoid.end());
            return EndpointChoice{id, {}, 1};
        };
        options.admission.modelLimit = [capacity](const base::ModelName &) {
            return capacity;
        };
        options.bookings.makeToken = [] {
            return std::string("t");
        };
        m_failing = failing;
        m_dispatcher = std::make_unique<Dispatcher>(std::move(options));
    }

    void submit(base::Priority priority, base::Duration timeout, double meanServiceMilliseconds)
    {
        m_lastCall = m_lastCall.next();
        IncomingCall incoming;
        incoming.call = m_lastCall;
        incoming.id = base::RequestId(std::to_string(m_lastCall.value()));
        incoming.target = base::ModelName("m");
        incoming.priority = priority;
        incoming.deadline = now + timeout;
        incoming.fingerprint = Fingerprint(m_lastCall.value());
        m_calls[m_lastCall] = EndedCall{priority, now, incoming.deadline, {}, false};
        m_meanServiceMilliseconds = meanServiceMilliseconds;
        perform(m_dispatcher->submit(incoming, now));
    }

    void runUntil(base::Time end)
    {
        while (now < end) {
            const auto next = m_events.empty() ? end : std::min(end, m_events.top().at);
            while (m_nextTick <= next) {
                now = m_nextTick;
                m_nextTick += std::chrono::milliseconds(10);
                perform(m_dispatcher->tick(now));
            }
            now = next;
            while (!m_events.empty() && m_events.top().at <= now) {
                const auto event = m_events.top();
                m_events.pop();
                if (event.result == AttemptResult::Answered) {
                    perform(m_dispatcher->piece(event.call, event.attempt, 0, "x", now));
                }
                perform(m_dispatcher->attemptEnded(event.call, event.attempt, event.result, now));
            }
        }
    }

    base::Time now{std::chrono::seconds(1'000'000)};
    std::vector<EndedCall> endedCalls;
    std::uint64_t runs = 0; ///< attempts, without those that resume an earlier one

private:
    struct Event
    {
        base::Time at;
        CallNumber call;
        base::Attempt attempt;
        AttemptResult result = AttemptResult::Answered;

        bool operator<(const Event &other) const
        {
            return other.at < at;
        }
    };

    void perform(const DispatchActions &actions)
    {
        for (const auto &it : actions) {
            const auto *action = std::get_if<CallAction>(&it);
            if (action == nullptr) {
                continue;
            }
            if (const auto *send = std::get_if<SendAttempt>(&action->payload)) {
                start(action->call, *send);
            } else if (std::holds_alternative<CompleteCall>(action->payload) || std::holds_alternative<FailCall>(action->payload)) {
                auto call = m_calls.at(action->call);
                call.endedAt = now;
                call.isAnswered = std::holds_alternative<CompleteCall>(action->payload);
                endedCalls.push_back(call);
                m_calls.erase(action->call);
            }
        }
    }

    void start(CallNumber call, const SendAttempt &send)
    {
        const bool isFailing = std::stoul(send.choice.endpoint.text()) < m_failing;
        if (!send.isResume) {
            ++runs;
        }
        if (isFailing) {
            m_events.push(Event{now + milliseconds(20), call, send.attempt, AttemptResult::Refused});
            return;
        }
        std::exponential_distribution<double> exponential(1.0);
        const double serviceMilliseconds = m_meanServiceMilliseconds * (0.5 + 0.5 * exponential(m_random));
        m_events.push(Event{now + milliseconds(serviceMilliseconds), call, send.attempt, AttemptResult::Answered});
    }

    std::mt19937_64 m_random;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::priority_queue<Event> m_events;
    std::map<CallNumber, EndedCall> m_calls;
    CallNumber m_lastCall;
    base::Time m_nextTick{std::chrono::seconds(1'000'000)};
    double m_meanServiceMilliseconds = 0;
    std::size_t m_failing = 0;
};

void measureRetries(unsigned seed)
{
    constexpr int Requests = 20000;
    SimulatedDaemon daemon(seed, 0, 12, 4);
    for (int n = 0; n < Requests; ++n) {
        daemon.submit(base::Priority::Normal, std::chrono::seconds(30), 200);
        daemon.runUntil(daemon.now + milliseconds(10));
    }
    daemon.runUntil(daemon.now + std::chrono::seconds(60));
    const auto answered = std::count_if(daemon.endedCalls.begin(), daemon.endedCalls.end(), [](const auto &it) { return it.isAnswered; });
    printFigure("requests.retry_amplification", static_cast<double>(daemon.runs) / Requests, "sends per request", "<= 1.1");
    printFigure("requests.answered_with_a_third_failing", static_cast<double>(answered) / Requests, "share", "-");
}

void measureOverload(unsigned seed)
{
    constexpr std::uint32_t Capacity = 64;
    constexpr double MeanServiceMilliseconds = 600;
    constexpr double Overload = 1.5; ///< request rate relative to the capacity
    constexpr double Seconds = 600;
    constexpr auto UrgentTimeout = std::chrono::milliseconds(4000);
    constexpr auto BulkTimeout = std::chrono::seconds(120);
    const double requestsPerSecond = Overload * Capacity / (MeanServiceMilliseconds / 1000);
    SimulatedDaemon daemon(seed, Capacity, 4, 0);
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(requestsPerSecond);
    const auto end = daemon.now + milliseconds(Seconds * 1000);
    while (daemon.now < end) {
        const bool isUrgent = random() % 2 == 0;
        daemon.submit(isUrgent ? base::Priority::Urgent : base::Priority::Bulk, isUrgent ? base::Duration(UrgentTimeout) : base::Duration(BulkTimeout),
                      MeanServiceMilliseconds);
        daemon.runUntil(daemon.now + milliseconds(gap(random) * 1000));
    }
    daemon.runUntil(daemon.now + std::chrono::seconds(130));
    double urgent = 0;
    double urgentInTime = 0;
    double bulk = 0;
    double bulkInTime = 0;
    double bulkLate = 0;
    std::vector<double> rejectionTimes; // ms from arrival to the end without an answer
    for (const auto &it : daemon.endedCalls) {
        const bool isInTime = it.isAnswered && it.endedAt <= it.deadline;
        (it.priority == base::Priority::Urgent ? urgent : bulk) += 1;
        urgentInTime += it.priority == base::Priority::Urgent && isInTime ? 1 : 0;
        // Only answers during the overload count as progress under overload.
        bulkInTime += it.priority == base::Priority::Bulk && isInTime && it.endedAt <= end ? 1 : 0;
        bulkLate += it.priority == base::Priority::Bulk && it.isAnswered && !isInTime ? 1 : 0;
        if (!it.isAnswered) {
            rejectionTimes.push_back(base::inMilliseconds(it.endedAt - it.arrivedAt));
        }
    }
    std::sort(rejectionTimes.begin(), rejectionTimes.end());
    printFigure("requests.urgent_attainment", urgentInTime / urgent, "share", ">= 0.99");
    printFigure("requests.bulk_progress", bulkInTime / Seconds, "answers/s", "> 0");
    printFigure("requests.bulk_started_but_late", bulkLate / bulk, "share", "-");
    printFigure("requests.refusal_p95", rejectionTimes.empty() ? 0 : rejectionTimes[rejectionTimes.size() * 95 / 100], "ms from arrival", "-");
}

// ---- duration of the dispatcher's decisions

void measureDecisions(unsigned seed)
{
    constexpr int Requests = 20000;
    constexpr int InProgress = 400;
    constexpr std::uint64_t Pieces = 50;
    std::mt19937_64 random(seed);
    DispatcherOptions options;
    options.choose = [](const ChoiceQuery &, base::Time) {
        return EndpointChoice{base::EndpointId("e"), {}, 1};
    };
    options.admission.modelLimit = [](const base::ModelName &) {
        return 100000U;
    };
    options.bookings.makeToken = [] {
        return std::string("t");
    };
    Dispatcher dispatcher(std::move(options));
    base::Time now{std::chrono::seconds(1'000'000)};
    std::vector<double> microseconds;
    std::vector<double> microsecondsPerPiece;
    const auto measureMicroseconds = [](const auto &work) {
        const auto startedAt = std::chrono::steady_clock::now();
        work();
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - startedAt).count();
    };
    for (int n = 0; n < Requests; ++n) {
        now += std::chrono::milliseconds(1);
        IncomingCall incoming;
        incoming.call = CallNumber(static_cast<std::uint64_t>(n) + 1);
        incoming.id = base::RequestId(std::to_string(n));
        incoming.target = base::ModelName("m" + std::to_string(random() % 60));
        incoming.priority = static_cast<base::Priority>(random() % 3);
        incoming.deadline = now + std::chrono::seconds(60);
        incoming.fingerprint = Fingerprint(random());
        double decisionMicroseconds = measureMicroseconds([&] { dispatcher.submit(incoming, now); });
        if (n >= InProgress) {
            const CallNumber oldest(static_cast<std::uint64_t>(n - InProgress) + 1);
            double pieces = 0;
            for (std::uint64_t offset = 0; offset < Pieces; ++offset) {
                std::string token = "token";
                pieces += measureMicroseconds([&] { dispatcher.piece(oldest, base::Attempt(1), offset, std::move(token), now); });
            }
            microsecondsPerPiece.push_back(pieces / Pieces);
            decisionMicroseconds += measureMicroseconds([&] { dispatcher.attemptEnded(oldest, base::Attempt(1), AttemptResult::Answered, now); });
        }
        microseconds.push_back(decisionMicroseconds);
    }
    const auto tick = measureMicroseconds([&] { dispatcher.tick(now); });
    std::sort(microseconds.begin(), microseconds.end());
    std::sort(microsecondsPerPiece.begin(), microsecondsPerPiece.end());
    printFigure("requests.decision_p99", microseconds[microseconds.size() * 99 / 100], "us a request", "<= 20");
    printFigure("requests.decision_median", microseconds[microseconds.size() / 2], "us a request", "-");
    printFigure("requests.piece_p99", microsecondsPerPiece[microsecondsPerPiece.size() * 99 / 100], "us a token", "-");
    printFigure("requests.tick_with_400_calls", tick, "us", "-");
}

void measure(unsigned seed)
{
    measureGuarantees(seed);
    measurePoison(seed);
    measureRetries(seed);
    measureOverload(seed);
    measureBookings(seed);
    measureDecisions(seed);
}

const Section section("requests", measure);

} // namespace

} // namespace turmericplank::bench
