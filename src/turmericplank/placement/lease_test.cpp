#include "turmericplank/placement/lease.hpp"

#include <tuple>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::placement;

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(50);

/// A table with one row that answers without delay, and a clock.
class LeaseSimulation
{
public:
    void step(Lease &lease)
    {
        switch (lease.tick(now)) {
        case LeaseAction::None:
            return;
        case LeaseAction::Read:
            lease.rowsRead(now, m_version == 0 ? std::vector<store::Row>() : std::vector{store::Row{"lease", base::RowVersion(m_version), m_value}});
            return;
        case LeaseAction::Write:
            write(lease);
            return;
        }
    }

    /// Runs the given leases until a time; other leases stand still.
    void runUntil(base::Time end, std::vector<Lease *> leases)
    {
        for (; now < end; now += TickInterval) {
            for (auto *lease : leases) {
                step(*lease);
            }
        }
    }

    /// State of the table, for restore().
    using Copy = std::pair<std::uint64_t, std::string>;

    Copy copy() const
    {
        return {m_version, m_value};
    }

    /// Replaces the table by an earlier copy, or by an empty one.
    void restore(const Copy &copy)
    {
        std::tie(m_version, m_value) = copy;
    }

    base::Time now{std::chrono::seconds(1000)};

private:
    void write(Lease &lease)
    {
        const auto &row = lease.pendingWrites().front();
        if (row.expectedVersion && row.expectedVersion->value() != m_version) {
            lease.rowsWritten(now, tl::make_unexpected(store::TableError{store::TableFailure::Conflict, {}}));
            return;
        }
        m_value = *row.value;
        lease.rowsWritten(now, std::vector{base::RowVersion(++m_version)});
    }

    std::uint64_t m_version = 0;
    std::string m_value;
};

LeaseOptions leaseOptions(const char *self)
{
    LeaseOptions options;
    options.self = base::DaemonId(self);
    options.key = "lease";
    options.duration = std::chrono::milliseconds(5500);
    options.safetyMargin = std::chrono::milliseconds(3500);
    options.renewInterval = std::chrono::milliseconds(900);
    options.retryInterval = std::chrono::milliseconds(400);
    return options;
}

Lease makeLease(const char *self)
{
    return Lease(leaseOptions(self));
}

} // namespace

TEST_CASE("a released lease is taken over at once, together with the list of recently ordered endpoints")
{
    LeaseSimulation simulation;
    auto first = makeLease("first");
    auto second = makeLease("second");
    simulation.runUntil(simulation.now + std::chrono::seconds(2), {&first, &second});
    REQUIRE(first.isHeld(simulation.now));
    const auto stoppedAt = simulation.now;
    first.release({base::EndpointId("e")});
    CHECK_FALSE(first.isHeld(simulation.now));
    CHECK(first.isReleaseDue());
    simulation.runUntil(stoppedAt + std::chrono::milliseconds(500), {&first, &second});
    CHECK_FALSE(first.isReleaseDue());
    CHECK(second.isHeld(simulation.now));
    CHECK(second.term() > base::Term(1));
    REQUIRE(second.predecessor());
    CHECK(second.predecessor()->recentlyOrdered == std::vector{base::EndpointId("e")});
    simulation.runUntil(simulation.now + std::chrono::seconds(10), {&first, &second});
    CHECK(second.isHeld(simulation.now));
    CHECK_FALSE(first.isUncontested());
}

TEST_CASE("a lease that is not renewed is taken over as soon as it expires, without waiting for the next poll")
{
    LeaseSimulation simulation;
    auto first = makeLease("first");
    auto second = makeLease("second");
    simulation.runUntil(simulation.now + std::chrono::seconds(2), {&first, &second});
    REQUIRE(first.isHeld(simulation.now));
    const auto stoppedAt = simulation.now;
    simulation.runUntil(stoppedAt + std::chrono::milliseconds(4500), {&second});
    CHECK_FALSE(second.isHeld(simulation.now));
    simulation.runUntil(stoppedAt + std::chrono::milliseconds(6000), {&second});
    CHECK(second.isHeld(simulation.now));
    REQUIRE(second.predecessor());
    CHECK_FALSE(second.predecessor()->isReleased);
}

TEST_CASE("lease rows are unchanged after encoding and decoding")
{
    const LeaseRow row{base::DaemonId("d"), base::Term(3), 4, base::timeFromMilliseconds(5), true, {base::EndpointId("e"), base::EndpointId("f")}};
    CHECK(decodeLeaseRow(encode(row)) == row);
    const LeaseRow held{base::DaemonId("d"), base::Term(3), 4, base::timeFromMilliseconds(5), false, {}};
    CHECK(decodeLeaseRow(encode(held)) == held);
    CHECK_FALSE(decodeLeaseRow(R"({"holder":"d","term":3,"renewal":4,"deadline":5,"ordered_lately":[7]})"));
}

TEST_CASE("after the table came back from an older copy, the holder goes on under a higher term")
{
    LeaseSimulation simulation;
    auto first = makeLease("first");
    auto second = makeLease("second");
    first.noteEra(simulation.now, base::StoreEra(1));
    second.noteEra(simulation.now, base::StoreEra(1));
    simulation.runUntil(simulation.now + std::chrono::seconds(2), {&first, &second});
    REQUIRE(first.isHeld(simulation.now));
    const auto term = first.term();
    simulation.restore({});
    first.noteEra(simulation.now, base::StoreEra(2));
    second.noteEra(simulation.now, base::StoreEra(2));
    CHECK_FALSE(first.isHeld(simulation.now));
    simulation.runUntil(simulation.now + std::chrono::milliseconds(300), {&first, &second});
    CHECK(first.isHeld(simulation.now));
    CHECK(first.term() > term);
    CHECK_FALSE(second.isUncontested());
}

TEST_CASE("a lease that the table has lost is not taken over while its holder may still send orders, and no term is used twice")
{
    // The copy is from before the holder took over: it names an earlier holder that had released the lease.
    LeaseSimulation simulation;
    auto zeroth = makeLease("zeroth");
    auto first = makeLease("first");
    auto second = makeLease("second");
    for (auto *it : {&zeroth, &first, &second}) {
        it->noteEra(simulation.now, base::StoreEra(1));
    }
    simulation.runUntil(simulation.now + std::chrono::seconds(2), {&zeroth});
    zeroth.release({});
    simulation.runUntil(simulation.now + std::chrono::seconds(1), {&zeroth});
    const auto copy = simulation.copy();
    simulation.runUntil(simulation.now + std::chrono::seconds(2), {&first});
    REQUIRE(first.isHeld(simulation.now));
    const auto term = first.term();
    simulation.restore(copy);
    const auto restoredAt = simulation.now;
    // The holder is cut off from the table and does not learn of the restore.
    second.noteEra(simulation.now, base::StoreEra(2));
    simulation.runUntil(restoredAt + std::chrono::milliseconds(5400), {&second});
    CHECK_FALSE(second.isHeld(simulation.now));
    CHECK_FALSE(first.isHeld(simulation.now));
    simulation.runUntil(restoredAt + std::chrono::milliseconds(6000), {&second});
    CHECK(second.isHeld(simulation.now));
    CHECK(second.term() > term);
}

TEST_CASE("terms grow from era to era although the table loses all rows each time")
{
    LeaseSimulation simulation;
    auto lease = makeLease("first");
    base::Term last;
    for (std::uint64_t era = 1; era <= 4; ++era) {
        lease.noteEra(simulation.now, base::StoreEra(era));
        simulation.runUntil(simulation.now + std::chrono::seconds(1), {&lease});
        REQUIRE(lease.isHeld(simulation.now));
        CHECK(lease.term() > last);
        last = lease.term();
        simulation.restore({});
    }
}

TEST_CASE("a write that was started before the table came back does not make its daemon the holder")
{
    LeaseSimulation simulation;
    auto lease = makeLease("first");
    lease.noteEra(simulation.now, base::StoreEra(1));
    simulation.step(lease);
    simulation.now += std::chrono::seconds(1);
    REQUIRE(lease.tick(simulation.now) == LeaseAction::Write);
    lease.noteEra(simulation.now, base::StoreEra(2));
    lease.rowsWritten(simulation.now, std::vector{base::RowVersion(1)});
    CHECK_FALSE(lease.isHeld(simulation.now));
}

TEST_CASE("a daemon that starts while the system runs does not take a missing row for a free lease")
{
    LeaseSimulation simulation;
    auto options = leaseOptions("late");
    options.mayTakeAbsentRow = false;
    Lease lease(options);
    lease.noteEra(simulation.now, base::StoreEra(3));
    const auto startedAt = simulation.now;
    simulation.runUntil(startedAt + std::chrono::milliseconds(5400), {&lease});
    CHECK_FALSE(lease.isHeld(simulation.now));
    simulation.runUntil(startedAt + std::chrono::milliseconds(6000), {&lease});
    CHECK(lease.isHeld(simulation.now));
}

TEST_CASE("a holder that cannot reach the table goes on only where no other holder can have taken over")
{
    const auto now = base::timeFromMilliseconds(1000);
    const OutageView outage{true, true, false, true, now + std::chrono::seconds(1)};
    CHECK(mayOrderWithoutTable(outage, now));
    CHECK_FALSE(mayOrderWithoutTable(outage, outage.orderUntil));
    auto it = outage;
    it.areAllDaemonsHeard = false; // a silent daemon may have taken over
    CHECK_FALSE(mayOrderWithoutTable(it, now));
    it.enginesCheckTerms = true;
    CHECK(mayOrderWithoutTable(it, now));
    it.isUncontested = false;
    CHECK_FALSE(mayOrderWithoutTable(it, now));
    it = outage;
    it.isTableDown = false;
    CHECK_FALSE(mayOrderWithoutTable(it, now));
}

TEST_CASE("a holder that resumes after a restore gives way if another daemon was faster")
{
    LeaseSimulation simulation;
    auto first = makeLease("first");
    first.noteEra(simulation.now, base::StoreEra(1));
    simulation.runUntil(simulation.now + std::chrono::seconds(2), {&first});
    REQUIRE(first.isHeld(simulation.now));
    first.noteEra(simulation.now, base::StoreEra(2));
    simulation.step(first);
    REQUIRE(first.tick(simulation.now) == LeaseAction::Write);
    first.rowsWritten(simulation.now, tl::make_unexpected(store::TableError{store::TableFailure::Conflict, {}}));
    const LeaseRow other{base::DaemonId("other"), base::Term((std::uint64_t(2) << 40U) + 9), 1, {}};
    simulation.restore({9, encode(other)});
    simulation.runUntil(simulation.now + std::chrono::seconds(3), {&first});
    CHECK_FALSE(first.isUncontested());
}
