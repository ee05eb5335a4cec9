#include "turmericplank/gateway/collectedbody.hpp"

#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace turmericplank::gateway;

namespace {

using BodyPointer = boost::intrusive_ptr<CollectedBody>;

struct Bodies
{
    BodyPointer begin()
    {
        return BodyPointer(new CollectedBody(budget, [this, number = begun++] { ended.push_back(number); }));
    }

    CollectionBudgetPointer budget{new CollectionBudget(1000)};
    int begun = 0;
    std::vector<int> ended; ///< numbers of the bodies that gave way, in this order
};

using Numbers = std::vector<int>;

} // namespace

// Guards against a process that runs out of memory because many endpoints send bodies without end at the same time.
TEST_CASE("the largest body gives way when all bodies together exceed the limit")
{
    Bodies it;
    const auto small = it.begin();
    const auto large = it.begin();
    const auto last = it.begin();
    small->append(std::string(300, 's'));
    large->append(std::string(600, 'l'));
    CHECK(it.budget->bytes() == 900);
    last->append(std::string(150, 'x'));
    CHECK(it.ended == Numbers{1});
    CHECK(it.budget->bytes() == 450);
    CHECK(large->hasGivenWay());
    CHECK_FALSE(small->hasGivenWay());
    large->append("more");
    CHECK(it.budget->bytes() == 450);
    CHECK(small->take() == std::string(300, 's'));
    CHECK(it.budget->bytes() == 150);
}

TEST_CASE("a body that exceeds the limit alone gives way itself")
{
    Bodies it;
    const auto body = it.begin();
    for (int n = 0; n < 20; ++n) {
        body->append(std::string(100, 'x'));
    }
    CHECK(it.ended == Numbers{0});
    CHECK(it.budget->bytes() == 0);
    CHECK(body->take().empty());
}

TEST_CASE("bodies that are taken or destroyed no longer count")
{
    Bodies it;
    {
        const auto destroyed = it.begin();
        const auto taken = it.begin();
        destroyed->append(std::string(400, 'd'));
        taken->append(std::string(400, 't'));
        CHECK(taken->take().size() == 400);
        CHECK(it.budget->bytes() == 400);
    }
    CHECK(it.budget->bytes() == 0);
    const auto next = it.begin();
    next->append(std::string(1000, 'n'));
    CHECK(it.ended.empty());
}
