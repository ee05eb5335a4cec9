#include "engine/orderregistry.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::standins::engine;

namespace {

Order load(const std::string &id, const std::string &model, const std::string &version, std::uint32_t memoryMib, std::uint64_t term = 1)
{
    return {id, base::Term(term), OrderKind::Load, model, version, {}, {}, memoryMib};
}

void loadNow(OrderRegistry &registry, const Order &order)
{
    REQUIRE(registry.accept(order) == OrderReceipt{OrderState::Running, true});
    registry.finish(order.id);
}

} // namespace

TEST_CASE("a repeated order has no further effect")
{
    OrderRegistry registry(100, false);
    CHECK(registry.accept(load("1", "m", "v1", 60)) == OrderReceipt{OrderState::Running, true});
    CHECK(registry.accept(load("1", "m", "v1", 60)) == OrderReceipt{OrderState::Running, false});
    CHECK_FALSE(registry.servingVersion("m"));
    registry.finish("1");
    CHECK(registry.accept(load("1", "m", "v1", 60)) == OrderReceipt{OrderState::Done, false});
    CHECK(registry.accept(load("2", "m", "v1", 60)) == OrderReceipt{OrderState::Done, false});
    CHECK(registry.usedMib() == 60);
}

TEST_CASE("memory is allocated from the start of a load to the end of an unload")
{
    OrderRegistry registry(100, false);
    REQUIRE(registry.accept(load("1", "m", "v1", 60)));
    CHECK(registry.accept(load("2", "n", "v1", 60)).error() == OrderRejection::OutOfMemory);
    registry.finish("1");
    const Order unload{"3", base::Term(1), OrderKind::Unload, "m", "v1", {}, {}, 0};
    REQUIRE(registry.accept(unload));
    CHECK_FALSE(registry.servingVersion("m"));
    CHECK(registry.accept(load("2", "n", "v1", 60)).error() == OrderRejection::OutOfMemory);
    registry.finish("3");
    CHECK(registry.accept(load("2", "n", "v1", 60)));
    CHECK(registry.overcommitAttempts() == 2);
}

TEST_CASE("an outdated term is rejected only if the engine checks fencing")
{
    for (const bool checksFencing : {true, false}) {
        CAPTURE(checksFencing);
        OrderRegistry registry(100, checksFencing);
        REQUIRE(registry.accept({"t", base::Term(5), OrderKind::SetTerm}));
        const auto result = registry.accept(load("1", "m", "v1", 10, 4));
        CHECK(result.has_value() != checksFencing);
        CHECK(registry.highestTerm() == base::Term(5));
    }
}

TEST_CASE("requests run on the version loaded last, adapters on their base model")
{
    OrderRegistry registry(100, false);
    loadNow(registry, load("1", "m", "v2", 10));
    loadNow(registry, load("2", "m", "v1", 10));
    CHECK(registry.servingVersion("m") == Resident{"m", "v1"});
    const Order adapter{"3", base::Term(1), OrderKind::LoadAdapter, "m", {}, "a", {}, 5};
    CHECK_FALSE(registry.resolve("a"));
    loadNow(registry, adapter);
    CHECK(registry.resolve("a") == Resident{"m", "v1"});
    CHECK(registry.usedMib() == 25);
    const Order orphan{"4", base::Term(1), OrderKind::LoadAdapter, "absent", {}, "b", {}, 5};
    CHECK(registry.accept(orphan) == OrderReceipt{OrderState::Failed, false});
    CHECK(registry.usedMib() == 25);
}
