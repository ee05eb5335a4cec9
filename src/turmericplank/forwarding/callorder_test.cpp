#include "turmericplank/forwarding/callorder.hpp"

#include <array>
#include <deque>
#include <random>
#include <set>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::forwarding;
using namespace std::chrono_literals;

namespace {

constexpr CallPlace MostUrgent{0, 3};
constexpr CallPlace LeastUrgent{2, 3};

/// What became of the calls of one kind.
struct Outcome
{
    int calls = 0;
    int onTime = 0;
    int refused = 0;

    double shareOnTime() const
    {
        return static_cast<double>(onTime) / calls;
    }
};

/// One engine of 16 places, whose answers take 1.6 s in the mean, and which admits its queue by level. Time advances in steps of 10 ms.
template<typename MayNotSend>
std::array<Outcome, 2> replay(double liveCallsPerSecond, double batchCallsPerSecond, MayNotSend mayNotSend)
{
    constexpr double Step = 0.01;
    constexpr double AnswerTime = 1.6;
    constexpr std::size_t Places = 16;
    constexpr std::size_t QueueLimit = 33;
    constexpr std::array<double, 2> Objectives{0.4, 6.0};
    constexpr std::array<CallPlace, 2> CallPlaces{MostUrgent, LeastUrgent};
    const std::array<double, 2> rates{liveCallsPerSecond, batchCallsPerSecond};
    std::array<Outcome, 2> outcomes;
    std::array<std::deque<double>, 2> queues; // arrival times
    std::multiset<double> running; // ends
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> answerTime(AnswerTime / 4, AnswerTime * 7 / 4);
    std::array<double, 2> due{};
    for (double now = 0; now < 30; now += Step) {
        running.erase(running.begin(), running.upper_bound(now));
        for (std::size_t kind = 0; kind < 2; ++kind) {
            for (due[kind] += rates[kind] * Step; due[kind] >= 1; due[kind] -= 1) {
                auto &outcome = outcomes[kind];
                ++outcome.calls;
                const auto waiting = queues[0].size() + queues[1].size();
                const auto ahead = kind == 0 ? queues[0].size() : waiting;
                const double wait = running.size() < Places ? 0 : (static_cast<double>(ahead) + 1) * AnswerTime / Places;
                const EndpointLoad load{static_cast<double>(running.size() + waiting), Places,
                                        std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(wait))};
                const auto objective = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(Objectives[kind]));
                if (waiting >= QueueLimit || mayNotSend(CallPlaces[kind], load, objective)) {
                    ++outcome.refused;
                } else {
                    queues[kind].push_back(now);
                }
            }
        }
        for (std::size_t kind = 0; kind < 2; ++kind) {
            while (running.size() < Places && !queues[kind].empty()) {
                outcomes[kind].onTime += now - queues[kind].front() <= Objectives[kind] ? 1 : 0;
                queues[kind].pop_front();
                running.insert(now + answerTime(random));
            }
        }
    }
    return outcomes;
}

/// As before: a call is sent if its caller would still be there.
bool exceedsCallerPatience(const CallPlace &, const EndpointLoad &load, base::Duration objective)
{
    return load.expectedFirst > std::max<base::Duration>(1920ms, objective * 4 * 4 / 5);
}

} // namespace

TEST_CASE("calls of a live kind at twice the capacity are on time as far as there is room")
{
    const auto before = replay(20, 0, exceedsCallerPatience);
    const auto after = replay(20, 0, mustNotQueue);
    CHECK(before[0].shareOnTime() < 0.2);
    CHECK(after[0].shareOnTime() > 0.45);
}

TEST_CASE("a batch kind does not fill the queue that a live kind needs")
{
    const auto before = replay(6, 20, exceedsCallerPatience);
    const auto after = replay(6, 20, mustNotQueue);
    CHECK(before[0].refused > before[0].calls / 4);
    CHECK(after[0].shareOnTime() > 0.9);
    CHECK(after[1].shareOnTime() > 0.05); // what the live kind leaves
}

TEST_CASE("a call is sent wherever a place is free, and to a queue only if it begins within its objective")
{
    CHECK_FALSE(mustNotQueue(LeastUrgent, {15.5, 16, 900ms}, 400ms));
    CHECK_FALSE(mustNotQueue(MostUrgent, {18, 16, 200ms}, 400ms));
    CHECK(mustNotQueue(MostUrgent, {18, 16, 300ms}, 400ms));
    CHECK_FALSE(mustNotQueue(LeastUrgent, {21, 16, 500ms}, 6s));
    CHECK(mustNotQueue(LeastUrgent, {22, 16, 500ms}, 6s));
    CHECK_FALSE(mustNotQueue(MostUrgent, {18, 16, 900ms}, 0s)); // a route without an objective
}

TEST_CASE("services with fewer than three priorities keep no order")
{
    CHECK_FALSE(callPlace({}, 0).has_value());
    CHECK_FALSE(callPlace({0, 2}, 2).has_value());
    CHECK((callPlace({0, 1, 2}, 1) == CallPlace{1, 3}));
    CHECK((callPlace({0, 4, 7}, 9) == CallPlace{2, 3}));
}

TEST_CASE("engines admit by the account, the route and the tolerance of delay, in this order")
{
    const CallPlace onlyAccount{0, 1};
    CHECK(urgency(onlyAccount, {0, 3}, false) == 0);
    CHECK(urgency(onlyAccount, {0, 3}, true) < urgency(onlyAccount, {1, 3}, false));
    CHECK(urgency(onlyAccount, {2, 3}, true) == 5);
    CHECK(urgency(onlyAccount, {9, 10}, true) == 9);
    CHECK(urgency({0, 3}, {2, 3}, true) < urgency({1, 3}, {0, 3}, false));
    CHECK(urgency({1, 3}, {0, 3}, false) < urgency({1, 3}, {1, 3}, false));
    CHECK(urgency({2, 3}, {2, 3}, true) == 8);
    CHECK(urgency({19, 20}, {0, 3}, false) == 9);
    CHECK((placeOf({}, 4) == CallPlace{0, 1}));
    CHECK((placeOf({1}, 1) == CallPlace{0, 1}));
}
