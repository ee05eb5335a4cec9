#include <algorithm>
#include <chrono>
#include <queue>
#include <random>

#include "../src/turmericplank/requests/simulationevents.hpp"
#include "section.hpp"

namespace turmericplank::bench {

namespace {

using namespace requests;
using fake::Simulation;
using fake::Violation;

base::Duration milliseconds(double value)
{
    return base::Duration(static_cast<std::int64_t>(value * 1000));
}

// ---- promises under faults

void measurePromises(unsigned seed)
{
    constexpr int Sequences = 300;
    constexpr int Steps = 300;
    std::mt19937_64 random(seed);
    std::map<Violation, int> violations;
    std::uint64_t submissions = 0;
    for (int n = 0; n < Sequences; ++n) {
        Simulation world({.daemons = 2 + static_cast<std::size_t>(n % 3)});
        for (int step = 0; step < Steps; ++step) {
            const auto &kind = fake::simulationEvents()[fake::weightedEventIndexes()[random() % fake::weightedEventIndexes().size()]];
            kind.effect(world, static_cast<unsigned>(random() % 10000));
        }
        world.settle();
        submissions += world.oracle.submissions.size();
        for (const auto it : world.oracle.violations) {
            ++violations[it];
        }
    }
    printFigure("requests.submissions_under_faults", static_cast<double>(submissions), "calls", "-");
    printFigure("requests.double_runs", violations[Violation::DoubleRun], "calls", "0");
    printFigure("requests.false_not_run", violations[Violation::FalseNotRun], "calls", "0");
    printFigure("requests.wrong_answers", violations[Violation::WrongAnswer], "calls", "0");
    printFigure("requests.unfinished", violations[Violation::Unfinished], "calls", "0");
}

// ---- a request that crashes endpoints, beside forty others

void measurePoison(unsigned seed)
{
    constexpr unsigned Innocents = 40;
    constexpr std::size_t Daemons = 8;
    constexpr int Rounds = 50;
    std::mt19937_64 random(seed);
    unsigned worst = 0;
    double innocents = 0;
    double answered = 0;
    for (int round = 0; round < Rounds; ++round) {
        Simulation world({.daemons = Daemons, .endpoints = 12});
        for (unsigned n = 1; n <= Innocents; ++n) {
            // Deadlines of 16 s; the contents differ.
            world.submit(random(), CallKind::Model, 3 + 4 * n, "");
        }
        world.flow(1 + static_cast<unsigned>(random() % 3));
        for (int resend = 0; resend < 6; ++resend) {
            fake::sendPoison(world, static_cast<unsigned>(random() % 10000) * 2);
            for (int n = 0; n < 40; ++n) {
                world.flow(1);
                world.advance(20);
            }
        }
        world.settle();
        worst = std::max(worst, world.oracle.endpointsLost[Simulation::PoisonContent]);
        for (const auto &[call, it] : world.oracle.submissions) {
            innocents += it.isPoison ? 0 : 1;
            answered += !it.isPoison && it.isComplete ? 1 : 0;
        }
    }
    printFigure("requests.poison_endpoints_lost", worst, "endpoints", "<= 2");
    printFigure("requests.innocents_answered", answered / innocents, "share", "1");
}

// ---- one daemon before endpoints with a service time

/// One dispatcher in virtual time: calls are answered after a service time, or fail.
class LoadedDaemon
{
public:
    struct Ended
    {
        base::Priority priority;
        base::Time arrivedAt;
        base::Time deadline;
        base::Time at;
        bool isAnswered = false;
    };

    LoadedDaemon(unsigned seed, std::uint32_t capacity, std::size_t endpoints, std::size_t failing)
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

    void submit(base::Priority priority, base::Duration allowed, double meanService)
    {
        m_lastCall = m_lastCall.next();
        IncomingCall arrival;
        arrival.call = m_lastCall;
        arrival.id = base::RequestId(std::to_string(m_lastCall.value()));
        arrival.target = base::ModelName("m");
        arrival.priority = priority;
        arrival.deadline = now + allowed;
        arrival.fingerprint = Fingerprint(m_lastCall.value());
        m_calls[m_lastCall] = Ended{priority, now, arrival.deadline, {}, false};
        m_meanService = meanService;
        perform(m_dispatcher->submit(arrival, now));
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
                if (event.end == AttemptResult::Answered) {
                    perform(m_dispatcher->piece(event.call, event.attempt, 0, "x", now));
                }
                perform(m_dispatcher->attemptEnded(event.call, event.attempt, event.end, now));
            }
        }
    }

    base::Time now{std::chrono::seconds(1'000'000)};
    std::vector<Ended> ended;
    std::uint64_t runs = 0;

private:
    struct Event
    {
        base::Time at;
        CallNumber call;
        base::Attempt attempt;
        AttemptResult end = AttemptResult::Answered;

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
                call.at = now;
                call.isAnswered = std::holds_alternative<CompleteCall>(action->payload);
                ended.push_back(call);
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
        std::exponential_distribution<double> variable(1.0);
        const double service = m_meanService * (0.5 + 0.5 * variable(m_random));
        m_events.push(Event{now + milliseconds(service), call, send.attempt, AttemptResult::Answered});
    }

    std::mt19937_64 m_random;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::priority_queue<Event> m_events;
    std::map<CallNumber, Ended> m_calls;
    CallNumber m_lastCall;
    base::Time m_nextTick{std::chrono::seconds(1'000'000)};
    double m_meanService = 0;
    std::size_t m_failing = 0;
};

void measureRetries(unsigned seed)
{
    constexpr int Requests = 20000;
    LoadedDaemon daemon(seed, 0, 12, 4);
    for (int n = 0; n < Requests; ++n) {
        daemon.submit(base::Priority::Normal, std::chrono::seconds(30), 200);
        daemon.runUntil(daemon.now + milliseconds(10));
    }
    daemon.runUntil(daemon.now + std::chrono::seconds(60));
    const auto answered = std::count_if(daemon.ended.begin(), daemon.ended.end(), [](const auto &it) { return it.isAnswered; });
    printFigure("requests.retry_amplification", static_cast<double>(daemon.runs) / Requests, "sends per request", "<= 1.1");
    printFigure("requests.answered_with_a_third_failing", static_cast<double>(answered) / Requests, "share", "-");
}

void measureOverload(unsigned seed)
{
    constexpr std::uint32_t Capacity = 64;
    constexpr double MeanService = 600; ///< milliseconds
    constexpr double Overload = 1.5;
    constexpr double Seconds = 600;
    constexpr auto UrgentAllowed = std::chrono::milliseconds(4000);
    constexpr auto BulkAllowed = std::chrono::seconds(120);
    const double rate = Overload * Capacity / (MeanService / 1000);
    LoadedDaemon daemon(seed, Capacity, 4, 0);
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(rate);
    const auto end = daemon.now + milliseconds(Seconds * 1000);
    while (daemon.now < end) {
        const bool isUrgent = random() % 2 == 0;
        daemon.submit(isUrgent ? base::Priority::Urgent : base::Priority::Bulk, isUrgent ? base::Duration(UrgentAllowed) : base::Duration(BulkAllowed),
                      MeanService);
        daemon.runUntil(daemon.now + milliseconds(gap(random) * 1000));
    }
    daemon.runUntil(daemon.now + std::chrono::seconds(130));
    double urgent = 0;
    double urgentInTime = 0;
    double bulk = 0;
    double bulkInTime = 0;
    double bulkLate = 0;
    std::vector<double> refusals;
    for (const auto &it : daemon.ended) {
        const bool isInTime = it.isAnswered && it.at <= it.deadline;
        (it.priority == base::Priority::Urgent ? urgent : bulk) += 1;
        urgentInTime += it.priority == base::Priority::Urgent && isInTime ? 1 : 0;
        // Only what was answered while the overload lasted counts as progress under it.
        bulkInTime += it.priority == base::Priority::Bulk && isInTime && it.at <= end ? 1 : 0;
        bulkLate += it.priority == base::Priority::Bulk && it.isAnswered && !isInTime ? 1 : 0;
        if (!it.isAnswered) {
            refusals.push_back(base::inMilliseconds(it.at - it.arrivedAt));
        }
    }
    std::sort(refusals.begin(), refusals.end());
    printFigure("requests.urgent_attainment", urgentInTime / urgent, "share", ">= 0.99");
    printFigure("requests.bulk_progress", bulkInTime / Seconds, "answers/s", "> 0");
    printFigure("requests.bulk_started_but_late", bulkLate / bulk, "share", "-");
    printFigure("requests.refusal_p95", refusals.empty() ? 0 : refusals[refusals.size() * 95 / 100], "ms from arrival", "-");
}

// ---- bookings against a store with a rate limit

struct BookingFigures
{
    double perSecond = 0;
    double writesPerBooking = 0;
    double addedMilliseconds = 0; ///< median from submission to permission
};

/// Several daemons' ledgers before one store that takes a number of transactions a second.
BookingFigures runBookings(unsigned seed, bool claimsFirst, double offeredPerSecond)
{
    constexpr std::size_t Daemons = 8;
    constexpr double StoreRate = 300;
    constexpr double StoreMilliseconds = 5;
    constexpr double ServiceMilliseconds = 20;
    constexpr double Seconds = 20;
    struct Event
    {
        base::Time at;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return other.at < at;
        }
    };
    std::mt19937_64 random(seed);
    std::priority_queue<Event> events;
    fake::Table table;
    base::Time now{std::chrono::seconds(1'000'000)};
    base::Time storeFreeAt = now;
    std::vector<BookingLedger> ledgers;
    for (std::size_t n = 0; n < Daemons; ++n) {
        BookingOptions options;
        options.self = base::DaemonId(std::to_string(n));
        options.makeToken = [&random] {
            return std::to_string(random());
        };
        options.claimsFirst = claimsFirst;
        // Each daemon takes its share of the store's rate.
        options.transactionInterval = milliseconds(1000 * Daemons / StoreRate);
        ledgers.emplace_back(std::move(options));
    }
    std::map<CallNumber, base::Time> submittedAt;
    std::vector<double> waits;
    std::uint64_t done = 0;
    const auto end = now + milliseconds(Seconds * 1000);
    std::function<void(std::size_t, const BookingActions &)> perform = [&](std::size_t daemon, const BookingActions &actions) {
        for (const auto &it : actions) {
            if (const auto *write = std::get_if<WriteRows>(&it)) {
                storeFreeAt = std::max(storeFreeAt, now) + milliseconds(1000 / StoreRate);
                events.push({storeFreeAt + milliseconds(StoreMilliseconds), [&, daemon, write = *write] {
                                 perform(daemon, ledgers[daemon].written(write.operation, table.transact(write.writes), now));
                             }});
            } else if (const auto *send = std::get_if<SendBooking>(&it)) {
                waits.push_back(base::inMilliseconds(now - submittedAt[send->call]));
                events.push({now + milliseconds(ServiceMilliseconds), [&, daemon, call = send->call] {
                                 done += now <= end ? 1 : 0;
                                 perform(daemon, ledgers[daemon].answered(call, StoredAnswer{200, "text/plain", "booked"}, now));
                             }});
            }
        }
    };
    std::uint64_t submitted = 0;
    std::exponential_distribution<double> gaps(offeredPerSecond / 1000);
    std::function<void()> submit = [&] {
        const CallNumber call(++submitted);
        submittedAt[call] = now;
        const auto daemon = static_cast<std::size_t>(submitted % Daemons);
        perform(daemon, ledgers[daemon].submit(BookingRequest{call, "bookings/" + std::to_string(submitted), "d", now + std::chrono::seconds(30)}, now));
        const auto next = now + milliseconds(gaps(random));
        if (next < end) {
            events.push({next, submit});
        }
    };
    std::function<void()> tick = [&] {
        for (std::size_t n = 0; n < Daemons; ++n) {
            perform(n, ledgers[n].tick(now));
        }
        if (now < end + std::chrono::seconds(2)) {
            events.push({now + std::chrono::milliseconds(10), tick});
        }
    };
    events.push({now, submit});
    events.push({now, tick});
    while (!events.empty()) {
        const auto event = events.top();
        events.pop();
        now = event.at;
        event.run();
    }
    std::sort(waits.begin(), waits.end());
    return {static_cast<double>(done) / Seconds, static_cast<double>(table.transactions) / static_cast<double>(submitted), waits[waits.size() / 2]};
}

void measureBookings(unsigned seed)
{
    constexpr double Heavy = 1200; ///< bookings offered a second
    constexpr double Light = 20;
    const auto one = runBookings(seed, false, Heavy);
    const auto two = runBookings(seed, true, Heavy);
    const auto lightOne = runBookings(seed, false, Light);
    const auto lightTwo = runBookings(seed, true, Light);
    printFigure("requests.bookings_per_second", one.perSecond, "bookings/s", ">= 1000");
    printFigure("requests.table_writes_per_booking", one.writesPerBooking, "transactions", "-");
    printFigure("requests.table_writes_per_booking_light", lightOne.writesPerBooking, "transactions", "-");
    printFigure("requests.booking_added_latency", one.addedMilliseconds, "ms at the median", "-");
    printFigure("requests.booking_added_latency_light", lightOne.addedMilliseconds, "ms at the median", "-");
    printFigure("requests.claim_first.bookings_per_second", two.perSecond, "bookings/s", "-");
    printFigure("requests.claim_first.table_writes_per_booking", two.writesPerBooking, "transactions", "-");
    printFigure("requests.claim_first.table_writes_per_booking_light", lightTwo.writesPerBooking, "transactions", "-");
    printFigure("requests.claim_first.booking_added_latency", two.addedMilliseconds, "ms at the median", "-");
    printFigure("requests.claim_first.booking_added_latency_light", lightTwo.addedMilliseconds, "ms at the median", "-");
}

// ---- time of the decisions themselves

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
    std::vector<double> perPiece;
    const auto timed = [](const auto &work) {
        const auto began = std::chrono::steady_clock::now();
        work();
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count();
    };
    for (int n = 0; n < Requests; ++n) {
        now += std::chrono::milliseconds(1);
        IncomingCall arrival;
        arrival.call = CallNumber(static_cast<std::uint64_t>(n) + 1);
        arrival.id = base::RequestId(std::to_string(n));
        arrival.target = base::ModelName("m" + std::to_string(random() % 60));
        arrival.priority = static_cast<base::Priority>(random() % 3);
        arrival.deadline = now + std::chrono::seconds(60);
        arrival.fingerprint = Fingerprint(random());
        double spent = timed([&] { dispatcher.submit(arrival, now); });
        if (n >= InProgress) {
            const CallNumber oldest(static_cast<std::uint64_t>(n - InProgress) + 1);
            double pieces = 0;
            for (std::uint64_t offset = 0; offset < Pieces; ++offset) {
                std::string token = "token";
                pieces += timed([&] { dispatcher.piece(oldest, base::Attempt(1), offset, std::move(token), now); });
            }
            perPiece.push_back(pieces / Pieces);
            spent += timed([&] { dispatcher.attemptEnded(oldest, base::Attempt(1), AttemptResult::Answered, now); });
        }
        microseconds.push_back(spent);
    }
    const auto tick = timed([&] { dispatcher.tick(now); });
    std::sort(microseconds.begin(), microseconds.end());
    std::sort(perPiece.begin(), perPiece.end());
    printFigure("requests.decision_p99", microseconds[microseconds.size() * 99 / 100], "us a request", "<= 20");
    printFigure("requests.decision_median", microseconds[microseconds.size() / 2], "us a request", "-");
    printFigure("requests.piece_p99", perPiece[perPiece.size() * 99 / 100], "us a token", "-");
    printFigure("requests.tick_with_400_calls", tick, "us", "-");
}

void measure(unsigned seed)
{
    measurePromises(seed);
    measurePoison(seed);
    measureRetries(seed);
    measureOverload(seed);
    measureBookings(seed);
    measureDecisions(seed);
}

const Section section("requests", measure);

} // namespace

} // namespace turmericplank::bench
