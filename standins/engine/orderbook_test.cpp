#include "engine/orderbook.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::standins::engine;

namespace {

Order load(const std::string &id, const std::string &model, const std::string &version, std::uint32_t memoryMib, std::uint64_t term = 1)
{
    return {id, base::Term(term), OrderKind::Load, model, version, {}, {}, memoryMib};
}

void loadNow(OrderBook &book, const Order &order)
{
    REQUIRE(book.take(order) == OrderReceipt{OrderState::Running, true});
    book.finish(order.id);
}

} // namespace

TEST_CASE("a repeated order has no second effect")
{
    OrderBook book(100, false);
    CHECK(book.take(load("1", "m", "v1", 60)) == OrderReceipt{OrderState::Running, true});
    CHECK(book.take(load("1", "m", "v1", 60)) == OrderReceipt{OrderState::Running, false});
    CHECK_FALSE(book.serving("m"));
    book.finish("1");
    CHECK(book.take(load("1", "m", "v1", 60)) == OrderReceipt{OrderState::Done, false});
    CHECK(book.take(load("2", "m", "v1", 60)) == OrderReceipt{OrderState::Done, false});
    CHECK(book.usedMib() == 60);
}

TEST_CASE("memory is held from the start of a load to the end of an unload")
{
    OrderBook book(100, false);
    REQUIRE(book.take(load("1", "m", "v1", 60)));
    CHECK(book.take(load("2", "n", "v1", 60)).error() == OrderRefusal::OutOfMemory);
    book.finish("1");
    const Order unload{"3", base::Term(1), OrderKind::Unload, "m", "v1", {}, {}, 0};
    REQUIRE(book.take(unload));
    CHECK_FALSE(book.serving("m"));
    CHECK(book.take(load("2", "n", "v1", 60)).error() == OrderRefusal::OutOfMemory);
    book.finish("3");
    CHECK(book.take(load("2", "n", "v1", 60)));
    CHECK(book.overcommitAttempts() == 2);
}

TEST_CASE("only an engine that checks refuses an old term")
{
    for (const bool checksFencing : {true, false}) {
        CAPTURE(checksFencing);
        OrderBook book(100, checksFencing);
        REQUIRE(book.take({"t", base::Term(5), OrderKind::SetTerm}));
        const auto result = book.take(load("1", "m", "v1", 10, 4));
        CHECK(result.has_value() != checksFencing);
        CHECK(book.highestTerm() == base::Term(5));
    }
}

TEST_CASE("requests run on the version loaded last, adapters on their base")
{
    OrderBook book(100, false);
    loadNow(book, load("1", "m", "v2", 10));
    loadNow(book, load("2", "m", "v1", 10));
    CHECK(book.serving("m") == Resident{"m", "v1"});
    const Order adapter{"3", base::Term(1), OrderKind::LoadAdapter, "m", {}, "a", {}, 5};
    CHECK_FALSE(book.resolve("a"));
    loadNow(book, adapter);
    CHECK(book.resolve("a") == Resident{"m", "v1"});
    CHECK(book.usedMib() == 25);
    const Order orphan{"4", base::Term(1), OrderKind::LoadAdapter, "absent", {}, "b", {}, 5};
    CHECK(book.take(orphan) == OrderReceipt{OrderState::Failed, false});
    CHECK(book.usedMib() == 25);
}
