#include "turmericplank/net/callerbudget.hpp"

#include <memory>
#include <optional>
#include <vector>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::net;

namespace {

class FakeConnection final : public BudgetMember
{
public:
    void giveWay(GiveWayCause cause) override
    {
        gaveWay = cause;
    }

    std::optional<GiveWayCause> gaveWay;
};

CallerBudgetPointer budgetOf(std::size_t maxBytes, std::size_t maxConnections)
{
    CallerBudgetOptions options;
    options.maxBytes = maxBytes;
    options.maxConnections = maxConnections;
    options.smallBytes = 10;
    return CallerBudgetPointer(new CallerBudget(std::move(options)));
}

} // namespace

TEST_CASE("the incomplete request without progress for the longest time gives way to one that makes progress")
{
    const auto budget = budgetOf(100, 10);
    FakeConnection stalled;
    FakeConnection active;
    FakeConnection answered;
    for (auto *it : {&stalled, &active, &answered}) {
        REQUIRE(budget->add(*it));
    }
    budget->note(answered, ConnectionUse::Answering, 30, 0);
    budget->note(stalled, ConnectionUse::Incomplete, 40, 0);
    budget->note(active, ConnectionUse::Incomplete, 20, 0);
    CHECK_FALSE(stalled.gaveWay.has_value());
    budget->note(active, ConnectionUse::Incomplete, 50, 0);
    CHECK((stalled.gaveWay == GiveWayCause::Memory));
    CHECK_FALSE(active.gaveWay.has_value());
    CHECK_FALSE(answered.gaveWay.has_value());
    CHECK(budget->bytes() == 80);
    CHECK(budget->connections() == 3); // until the connection is closed
}

TEST_CASE("a small request never gives way for memory")
{
    const auto budget = budgetOf(100, 100);
    std::vector<std::unique_ptr<FakeConnection>> connections;
    for (int n = 0; n < 20; ++n) {
        connections.push_back(std::make_unique<FakeConnection>());
        REQUIRE(budget->add(*connections.back()));
        budget->note(*connections.back(), ConnectionUse::Incomplete, 10, 0);
    }
    for (const auto &it : connections) {
        CHECK_FALSE(it->gaveWay.has_value());
    }
}

TEST_CASE("a request that would exceed the budget alone gives way itself")
{
    const auto budget = budgetOf(100, 10);
    FakeConnection answered;
    FakeConnection large;
    REQUIRE(budget->add(answered));
    REQUIRE(budget->add(large));
    budget->note(answered, ConnectionUse::Answering, 90, 0);
    budget->note(large, ConnectionUse::Incomplete, 20, 0);
    CHECK((large.gaveWay == GiveWayCause::Memory));
    CHECK_FALSE(answered.gaveWay.has_value());
    budget->note(large, ConnectionUse::Incomplete, 20, 0);
    CHECK(budget->bytes() == 90);
}

TEST_CASE("without incomplete requests the response of which most is unread gives way")
{
    const auto budget = budgetOf(100, 10);
    FakeConnection slow;
    FakeConnection slower;
    REQUIRE(budget->add(slow));
    REQUIRE(budget->add(slower));
    budget->note(slower, ConnectionUse::Answering, 0, 60);
    budget->note(slow, ConnectionUse::Answering, 0, 41);
    CHECK((slower.gaveWay == GiveWayCause::Memory));
    CHECK_FALSE(slow.gaveWay.has_value());
}

TEST_CASE("connections give way that never brought a request, then incomplete ones, then the longest idle one, but none that is answered")
{
    const auto budget = budgetOf(100, 4);
    FakeConnection idle;
    FakeConnection unproven;
    FakeConnection incomplete;
    FakeConnection answered;
    for (auto *it : {&idle, &unproven, &incomplete, &answered}) {
        REQUIRE(budget->add(*it));
    }
    budget->note(idle, ConnectionUse::Idle, 0, 0);
    budget->note(incomplete, ConnectionUse::Incomplete, 1, 0);
    budget->note(answered, ConnectionUse::Answering, 1, 0);
    std::vector<std::unique_ptr<FakeConnection>> later;
    const auto addAnswered = [&] {
        later.push_back(std::make_unique<FakeConnection>());
        const bool isAdded = budget->add(*later.back());
        if (isAdded) {
            budget->note(*later.back(), ConnectionUse::Answering, 0, 0);
        }
        return isAdded;
    };
    CHECK(addAnswered());
    CHECK((unproven.gaveWay == GiveWayCause::Connections));
    CHECK(addAnswered());
    CHECK((incomplete.gaveWay == GiveWayCause::Connections));
    CHECK(addAnswered());
    CHECK((idle.gaveWay == GiveWayCause::Connections));
    CHECK_FALSE(addAnswered());
    CHECK_FALSE(answered.gaveWay.has_value());
    CHECK(budget->connections() == 4);
}

TEST_CASE("a connection that ends releases what it held")
{
    const auto budget = budgetOf(100, 2);
    {
        FakeConnection it;
        REQUIRE(budget->add(it));
        budget->note(it, ConnectionUse::Answering, 30, 20);
        CHECK(budget->bytes() == 50);
    }
    CHECK(budget->bytes() == 0);
    CHECK(budget->connections() == 0);
}
