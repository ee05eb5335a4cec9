#include "turmericplank/membership/celldirectory.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::membership;

namespace {

base::Time at(std::int64_t seconds)
{
    return base::Time(std::chrono::seconds(1'000'000 + seconds));
}

CellSummary summary(const std::string &cell, const std::string &region, double load, std::uint64_t sequence = 1)
{
    return {base::CellName(cell), region, sequence, {{"127.0.0.1", 1}}, {base::ModelName("m"), base::ModelName("m-" + cell)}, load};
}

CellDirectory directory(const CellDirectoryOptions &options = {})
{
    CellDirectory it(base::CellName("own"), "north", options);
    it.noteSummary(summary("far", "south", 0.2), at(0));
    it.noteSummary(summary("near", "north", 0.5), at(0));
    return it;
}

} // namespace

TEST_CASE("a request is forwarded to the least loaded cell that holds the model, the own region preferred")
{
    std::mt19937_64 random(1);
    auto it = directory();
    CHECK(it.modelCount() == 3);
    CHECK(it.forwardTarget(base::ModelName("m"), false, at(1), random)->cell == base::CellName("near"));
    it.noteSummary(summary("near", "north", 0.9, 2), at(2));
    CHECK(it.forwardTarget(base::ModelName("m"), false, at(3), random)->cell == base::CellName("far"));
    it.noteSummary(summary("near", "north", 0.1, 1), at(4));
    CHECK(it.forwardTarget(base::ModelName("m"), false, at(5), random)->cell == base::CellName("far"));
}

TEST_CASE("a request is forwarded only once")
{
    for (const bool isBroken : {false, true}) {
        CellDirectoryOptions options;
        if (isBroken) {
            options.mayForward = [](bool) {
                return true;
            };
        }
        std::mt19937_64 random(1);
        const auto it = directory(options);
        const auto again = it.forwardTarget(base::ModelName("m"), true, at(1), random);
        CHECK(again.has_value() == isBroken);
        CHECK((isBroken || again.error() == ForwardFailure::AlreadyForwarded));
    }
}

TEST_CASE("cells with an expired summary and models that a cell no longer holds are not used")
{
    std::mt19937_64 random(1);
    auto it = directory();
    CHECK((it.forwardTarget(base::ModelName("absent"), false, at(1), random).error() == ForwardFailure::NoCell));
    CHECK_FALSE(it.forwardTarget(base::ModelName("m-near"), false, at(60), random));
    auto changed = summary("near", "north", 0.5, 2);
    changed.models = {base::ModelName("m")};
    it.noteSummary(changed, at(61));
    CHECK(it.forwardTarget(base::ModelName("m"), false, at(62), random));
    CHECK_FALSE(it.forwardTarget(base::ModelName("m-near"), false, at(62), random));
}

TEST_CASE("forwarding is worthwhile if another cell's load is lower by more than the margin for cold caches")
{
    const auto it = directory();
    CHECK_FALSE(it.isSpillWorthwhile(base::ModelName("m"), 0.6, at(1)));
    CHECK(it.isSpillWorthwhile(base::ModelName("m"), 1.2, at(1)));
    CHECK_FALSE(it.isSpillWorthwhile(base::ModelName("absent"), 5, at(1)));
}
