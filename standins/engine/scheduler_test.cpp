#include "engine/scheduler.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::standins::engine;
using namespace std::chrono_literals;

namespace {

const auto start = base::timeFromMilliseconds(1000);

Job job(const std::string &id, base::Priority priority = base::Priority::Normal, std::uint32_t tokens = 2)
{
    return {id, priority, 100ms, tokens};
}

} // namespace

TEST_CASE("tokens of concurrent streams are interleaved in the order in which they are due")
{
    Scheduler scheduler({2, 4, 20ms});
    REQUIRE(scheduler.admit(job("a"), start));
    REQUIRE(scheduler.admit(job("b"), start + 10ms));
    CHECK(scheduler.advance(start + 99ms).empty());
    const std::vector<GeneratedToken> expected = {{"a", true, false}, {"b", true, false}, {"a", false, true}, {"b", false, true}};
    CHECK(scheduler.advance(start + 200ms) == expected);
    CHECK(scheduler.running() == 0);
    CHECK_FALSE(scheduler.nextDue());
}

TEST_CASE("a waiting stream starts when another one ends, urgent ones first")
{
    Scheduler scheduler({1, 2, 20ms});
    REQUIRE(scheduler.admit(job("a", base::Priority::Normal, 1), start));
    REQUIRE(scheduler.admit(job("b", base::Priority::Bulk, 1), start));
    REQUIRE(scheduler.admit(job("c", base::Priority::Urgent, 1), start));
    CHECK_FALSE(scheduler.admit(job("d"), start));
    CHECK(scheduler.waiting() == 2);
    CHECK(scheduler.advance(start + 100ms) == std::vector<GeneratedToken>{{"a", true, true}});
    CHECK(scheduler.advance(start + 200ms) == std::vector<GeneratedToken>{{"c", true, true}});
    CHECK(scheduler.advance(start + 300ms) == std::vector<GeneratedToken>{{"b", true, true}});
}

TEST_CASE("a cancelled stream generates no more tokens and frees its place")
{
    Scheduler scheduler({1, 2, 20ms});
    REQUIRE(scheduler.admit(job("a"), start));
    REQUIRE(scheduler.admit(job("b"), start));
    REQUIRE(scheduler.admit(job("c"), start));
    scheduler.cancel("b", start);
    scheduler.cancel("a", start + 50ms);
    CHECK(scheduler.waiting() == 0);
    CHECK(scheduler.nextDue() == start + 150ms);
    CHECK(scheduler.advance(start + 150ms) == std::vector<GeneratedToken>{{"c", true, false}});
}
