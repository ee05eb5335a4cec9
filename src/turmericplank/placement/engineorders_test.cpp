#include "turmericplank/placement/engineorders.hpp"

#include <vector>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::placement;

namespace {

constexpr std::uint32_t ModelMemory = 70;
const base::DaemonId holder("entry-1");
const base::Term term(3);

base::Time at(std::int64_t milliseconds)
{
    return base::timeFromMilliseconds(milliseconds);
}

routes::EngineSpec spec()
{
    routes::EngineSpec it;
    it.memoryMb = 3 * ModelMemory + 10;
    it.adapterSlots = 2;
    for (const auto *name : {"a", "b", "c", "d"}) {
        it.models.push_back({base::ModelName(name), ModelMemory, std::chrono::seconds(3), 4, 1});
    }
    return it;
}

/// Engine that accepts an order only if it expects the current count of accepted orders, as the platform specifies.
struct FakeEngine
{
    std::uint64_t sequence = 0;
    discovery::HeldModels models;
    std::vector<ConditionalOrder> delayed;

    ConditionalAnswer receive(const ConditionalOrder &order)
    {
        if (order.expectedSequence != sequence) {
            return ConditionalAnswer::WrongState;
        }
        ++sequence;
        if (!order.adapter.empty()) {
            order.isLoad ? void(models[order.model].insert(order.adapter)) : void(models[order.model].erase(order.adapter));
        } else if (order.isLoad) {
            models[order.model];
        } else {
            models.erase(order.model);
        }
        std::size_t memory = models.size() * ModelMemory;
        CHECK(memory <= spec().memoryMb);
        return ConditionalAnswer::Accepted;
    }

    EngineState state() const
    {
        EngineState it;
        it.incarnation = base::Incarnation(1);
        it.sequence = sequence;
        it.models = models;
        return it;
    }

    discovery::EndpointEntry entry(const std::string &id) const
    {
        discovery::EndpointEntry it;
        it.id = base::EndpointId(id);
        it.incarnation = base::Incarnation(1);
        it.slots = 16;
        it.models = models;
        return it;
    }
};

Move move(OrderKind kind, const std::string &model, const std::string &adapter = "")
{
    Move it;
    it.kind = kind;
    it.endpoint = base::EndpointId("e");
    it.resident = {base::ModelName(model), {}, base::AdapterName(adapter.empty() ? "" : model + '/' + adapter)};
    return it;
}

/// EngineOrders with one engine whose state is known.
struct Fixture
{
    Fixture()
    {
        orders.setSpec(spec());
        engine.models[base::ModelName("a")];
        engine.models[base::ModelName("b")];
        orders.updateEngine(engine.entry("e"), false, at(0));
        orders.applyState(base::EndpointId("e"), engine.state(), at(0));
    }

    std::optional<ConditionalOrder> open(const Move &it, base::Time now)
    {
        return orders.open(it, holder, term, now);
    }

    FakeEngine engine;
    EngineOrders orders;
};

} // namespace

TEST_CASE("an engine is queried before it gets its first order")
{
    EngineOrders orders;
    orders.setSpec(spec());
    orders.updateEngine(FakeEngine().entry("e"), false, at(0));
    CHECK_FALSE(orders.open(move(OrderKind::Load, "a"), holder, term, at(0)).has_value());
    CHECK(orders.enginesToQuery(at(0)).size() == 1);
    orders.applyState(base::EndpointId("e"), FakeEngine().state(), at(0));
    CHECK(orders.open(move(OrderKind::Load, "a"), holder, term, at(1)).has_value());
}

TEST_CASE("an order without an answer that is delivered late does not overcommit memory")
{
    // The answer to the load of c is lost and the load arrives after another load was ordered. Only one of the two fits.
    Fixture it;
    const auto lost = it.open(move(OrderKind::Load, "c"), at(10));
    REQUIRE(lost.has_value());
    it.engine.delayed.push_back(*lost);
    it.orders.answered(*lost, ConditionalAnswer::Lost, at(500));
    CHECK_FALSE(it.open(move(OrderKind::Load, "d"), at(600)).has_value());
    CHECK(it.orders.enginesToQuery(at(600)).empty());
    CHECK(it.orders.enginesToQuery(at(900)).size() == 1);
    it.orders.applyState(base::EndpointId("e"), it.engine.state(), at(700));
    CHECK_FALSE(it.open(move(OrderKind::Load, "d"), at(910)).has_value());
    it.orders.applyState(base::EndpointId("e"), it.engine.state(), at(900));
    const auto next = it.open(move(OrderKind::Load, "d"), at(920));
    REQUIRE(next.has_value());
    CHECK((it.engine.receive(*next) == ConditionalAnswer::Accepted));
    for (const auto &late : it.engine.delayed) {
        CHECK((it.engine.receive(late) == ConditionalAnswer::WrongState));
    }
    CHECK(it.engine.models.size() == 3);
}

TEST_CASE("the memory of a load is committed as soon as the load is ordered")
{
    Fixture it;
    const auto load = it.open(move(OrderKind::Load, "c"), at(10));
    REQUIRE(load.has_value());
    it.orders.answered(*load, it.engine.receive(*load), at(15));
    CHECK(it.orders.endpointViews().front().committedMib == 3 * ModelMemory);
    CHECK_FALSE(it.orders.endpointViews().front().acceptsOrders);
    CHECK(it.orders.enginesToQuery(at(3100)).size() == 1);
    it.orders.applyState(base::EndpointId("e"), it.engine.state(), at(3100));
    CHECK(it.orders.endpointViews().front().acceptsOrders);
    CHECK_FALSE(it.open(move(OrderKind::Load, "d"), at(3200)).has_value());
}

TEST_CASE("adapters are loaded only within the slots and on engines that hold their model")
{
    Fixture it;
    CHECK_FALSE(it.open(move(OrderKind::LoadAdapter, "c", "a1"), at(10)).has_value());
    for (const auto *adapter : {"a1", "a2"}) {
        const auto load = it.open(move(OrderKind::LoadAdapter, "a", adapter), at(10));
        REQUIRE(load.has_value());
        CHECK(load->adapter == adapter);
        CHECK(it.orders.answered(*load, it.engine.receive(*load), at(12)));
    }
    CHECK_FALSE(it.open(move(OrderKind::LoadAdapter, "a", "a3"), at(20)).has_value());
    const auto unload = it.open(move(OrderKind::UnloadAdapter, "a", "a1"), at(20));
    REQUIRE(unload.has_value());
    CHECK(unload->expectedSequence == 2);
}

TEST_CASE("the last replica of a configured model is never unloaded")
{
    Fixture it;
    CHECK_FALSE(it.open(move(OrderKind::Unload, "a"), at(10)).has_value());
    it.orders.updateEngine(it.engine.entry("other"), false, at(10));
    CHECK(it.open(move(OrderKind::Unload, "a"), at(20)).has_value());
}

TEST_CASE("orders in progress are discarded when an engine restarts under the same name")
{
    Fixture it;
    const auto load = it.open(move(OrderKind::Load, "c"), at(10));
    REQUIRE(load.has_value());
    auto entry = FakeEngine().entry("e");
    entry.incarnation = base::Incarnation(2);
    it.orders.updateEngine(entry, false, at(100));
    CHECK_FALSE(it.orders.answered(*load, ConditionalAnswer::Accepted, at(110)));
    CHECK(it.orders.state(base::EndpointId("e"))->models.empty());
    CHECK(it.orders.enginesToQuery(at(110)).size() == 1);
}
