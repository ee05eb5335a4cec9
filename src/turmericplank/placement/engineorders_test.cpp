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
    routes::EngineSpec engineSpec;
    engineSpec.memoryMb = 3 * ModelMemory + 10;
    engineSpec.adapterSlots = 2;
    for (const auto *name : {"a", "b", "c", "d"}) {
        engineSpec.models.push_back({base::ModelName(name), ModelMemory, std::chrono::seconds(3), 4, 1});
    }
    return engineSpec;
}

/// Engine that accepts an order, even a delayed one, only if it expects the current count of accepted orders, as the platform specifies.
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
        EngineState result;
        result.incarnation = base::Incarnation(1);
        result.sequence = sequence;
        result.models = models;
        return result;
    }

    discovery::EndpointEntry entry(const std::string &id) const
    {
        discovery::EndpointEntry result;
        result.id = base::EndpointId(id);
        result.incarnation = base::Incarnation(1);
        result.slots = 16;
        result.models = models;
        return result;
    }
};

Move move(OrderKind kind, const std::string &model, const std::string &adapter = "")
{
    Move result;
    result.kind = kind;
    result.endpoint = base::EndpointId("e");
    result.resident = {base::ModelName(model), {}, base::AdapterName(adapter.empty() ? "" : model + '/' + adapter)};
    return result;
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

    std::optional<ConditionalOrder> open(const Move &planned, base::Time now)
    {
        return orders.open(planned, holder, term, now);
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
    // The load of c is delayed and gets no answer. It arrives after another load was ordered; only one of the two fits.
    Fixture fixture;
    const auto lost = fixture.open(move(OrderKind::Load, "c"), at(10));
    REQUIRE(lost.has_value());
    fixture.engine.delayed.push_back(*lost);
    fixture.orders.answered(*lost, ConditionalAnswer::Lost, at(500));
    CHECK_FALSE(fixture.open(move(OrderKind::Load, "d"), at(600)).has_value());
    CHECK(fixture.orders.enginesToQuery(at(600)).empty());
    CHECK(fixture.orders.enginesToQuery(at(900)).size() == 1);
    fixture.orders.applyState(base::EndpointId("e"), fixture.engine.state(), at(700));
    CHECK_FALSE(fixture.open(move(OrderKind::Load, "d"), at(910)).has_value());
    fixture.orders.applyState(base::EndpointId("e"), fixture.engine.state(), at(900));
    const auto next = fixture.open(move(OrderKind::Load, "d"), at(920));
    REQUIRE(next.has_value());
    CHECK((fixture.engine.receive(*next) == ConditionalAnswer::Accepted));
    for (const auto &late : fixture.engine.delayed) {
        CHECK((fixture.engine.receive(late) == ConditionalAnswer::WrongState));
    }
    CHECK(fixture.engine.models.size() == 3);
}

TEST_CASE("the memory of a load is committed as soon as the load is ordered")
{
    Fixture fixture;
    const auto load = fixture.open(move(OrderKind::Load, "c"), at(10));
    REQUIRE(load.has_value());
    fixture.orders.answered(*load, fixture.engine.receive(*load), at(15));
    CHECK(fixture.orders.engineSnapshots().front().committedMib == 3 * ModelMemory);
    CHECK_FALSE(fixture.orders.engineSnapshots().front().acceptsOrders);
    CHECK(fixture.orders.enginesToQuery(at(3100)).size() == 1);
    fixture.orders.applyState(base::EndpointId("e"), fixture.engine.state(), at(3100));
    CHECK(fixture.orders.engineSnapshots().front().acceptsOrders);
    CHECK_FALSE(fixture.open(move(OrderKind::Load, "d"), at(3200)).has_value());
}

TEST_CASE("adapters are loaded only within the slots and on engines that hold their model")
{
    Fixture fixture;
    CHECK_FALSE(fixture.open(move(OrderKind::LoadAdapter, "c", "a1"), at(10)).has_value());
    for (const auto *adapter : {"a1", "a2"}) {
        const auto load = fixture.open(move(OrderKind::LoadAdapter, "a", adapter), at(10));
        REQUIRE(load.has_value());
        CHECK(load->adapter == adapter);
        CHECK(fixture.orders.answered(*load, fixture.engine.receive(*load), at(12)));
    }
    CHECK_FALSE(fixture.open(move(OrderKind::LoadAdapter, "a", "a3"), at(20)).has_value());
    const auto unload = fixture.open(move(OrderKind::UnloadAdapter, "a", "a1"), at(20));
    REQUIRE(unload.has_value());
    CHECK(unload->expectedSequence == 2);
}

TEST_CASE("the last replica of a configured model is never unloaded")
{
    Fixture fixture;
    CHECK_FALSE(fixture.open(move(OrderKind::Unload, "a"), at(10)).has_value());
    fixture.orders.updateEngine(fixture.engine.entry("other"), false, at(10));
    CHECK(fixture.open(move(OrderKind::Unload, "a"), at(20)).has_value());
}

TEST_CASE("orders in progress are discarded when an engine restarts under the same name")
{
    Fixture fixture;
    const auto load = fixture.open(move(OrderKind::Load, "c"), at(10));
    REQUIRE(load.has_value());
    auto entry = FakeEngine().entry("e");
    entry.incarnation = base::Incarnation(2);
    fixture.orders.updateEngine(entry, false, at(100));
    CHECK_FALSE(fixture.orders.answered(*load, ConditionalAnswer::Accepted, at(110)));
    CHECK(fixture.orders.state(base::EndpointId("e"))->models.empty());
    CHECK(fixture.orders.enginesToQuery(at(110)).size() == 1);
}

TEST_CASE("a load under way is remembered when a late renewal begins the same term again, but not in a new term")
{
    const auto isArriving = [](const EngineOrders &orders) {
        const auto engine = orders.engineSnapshots().front();
        const auto it = engine.residents.find({base::ModelName("c"), {}, {}});
        return it != engine.residents.end() && it->second == ResidentState::Arriving;
    };
    Fixture fixture;
    CHECK(fixture.orders.beginTerm(term));
    fixture.orders.applyState(base::EndpointId("e"), fixture.engine.state(), at(5));
    const auto load = fixture.open(move(OrderKind::Load, "c"), at(10));
    REQUIRE(load.has_value());
    fixture.orders.answered(*load, ConditionalAnswer::Accepted, at(12));
    CHECK(isArriving(fixture.orders));
    CHECK_FALSE(fixture.orders.beginTerm(term));
    CHECK(isArriving(fixture.orders));
    CHECK(fixture.orders.beginTerm(term.next()));
    CHECK_FALSE(isArriving(fixture.orders));
    CHECK(fixture.orders.enginesToQuery(at(20)).size() == 1);
}

TEST_CASE("a load from an engine's own copy counts as done a second after the order, and frees the engine for the next one")
{
    // Demand moves to a model that the engine has held before: the load takes a second instead of three. Until it is known to be done, no
    // call is routed to the new replica and the engine gets no further order.
    Fixture fixture;
    auto entry = fixture.engine.entry("e");
    entry.atHand.insert(base::ModelName("c"));
    fixture.orders.updateEngine(entry, false, at(5));
    const auto load = fixture.open(move(OrderKind::Load, "c"), at(10));
    REQUIRE(load.has_value());
    fixture.orders.answered(*load, fixture.engine.receive(*load), at(12));
    base::Time now = at(12);
    while (fixture.orders.enginesToQuery(now).empty()) {
        now += std::chrono::milliseconds(50);
    }
    CHECK(now <= at(1000));
    auto state = fixture.engine.state();
    state.isBusy = true;
    fixture.orders.applyState(base::EndpointId("e"), state, now); // reports lag, so the first one may come too early
    CHECK_FALSE(fixture.orders.engineSnapshots().front().acceptsOrders);
    while (fixture.orders.enginesToQuery(now).empty()) {
        now += std::chrono::milliseconds(50);
    }
    CHECK(now <= at(1300));
    fixture.orders.applyState(base::EndpointId("e"), fixture.engine.state(), now);
    CHECK(fixture.orders.engineSnapshots().front().acceptsOrders);
}
