#include "turmericplank/placement/memoryledger.hpp"

#include <doctest/doctest.h>

#include "turmericplank/placement/cellrows.hpp"

using namespace turmericplank;
using namespace turmericplank::placement;

namespace {

Order order(const std::string &id, OrderKind kind, const std::string &model, std::uint32_t memoryMib)
{
    return Order{id, base::Term(1), kind, base::EndpointId("e1"), base::DaemonId("d1"), {base::ModelName(model), "1", {}}, "", memoryMib};
}

} // namespace

TEST_CASE("the memory of a load without an answer stays committed until the order is settled")
{
    MemoryLedger ledger;
    ledger.setCapacity(100);
    ledger.addOrder(order("1-1", OrderKind::Load, "m", 60));
    ledger.addOrder(order("1-1", OrderKind::Load, "m", 60));
    CHECK(ledger.committedMemory() == 60);
    CHECK_FALSE(ledger.fits(41));
    ledger.settle("1-1", false);
    CHECK(ledger.fits(100));
}

TEST_CASE("an unload frees memory only when an inventory shows the memory as free")
{
    MemoryLedger ledger;
    ledger.setCapacity(100);
    ledger.addOrder(order("1-1", OrderKind::Load, "m", 60));
    ledger.settle("1-1", true);
    const Resident resident{base::ModelName("m"), "1", {}};
    CHECK(ledger.isStable(resident));
    ledger.addOrder(order("1-2", OrderKind::Unload, "m", 60));
    CHECK_FALSE(ledger.isStable(resident));
    CHECK(ledger.residents().at(resident) == ResidentState::Leaving);
    ledger.settle("1-2", true);
    CHECK_FALSE(ledger.fits(41));
    ledger.applyInventory(Inventory{});
    CHECK(ledger.fits(100));
}

TEST_CASE("order and holder rows are unchanged after encoding and decoding")
{
    const auto written = order("3-9", OrderKind::Unload, "m", 7);
    CHECK(decodeOrder(encode(written)) == written);
    CHECK_FALSE(decodeOrder("{\"order_id\": \"3-9\"}"));
    const HolderRow holder{base::Term(4), base::Term(2)};
    CHECK(decodeHolderRow(encode(holder)) == holder);
}
