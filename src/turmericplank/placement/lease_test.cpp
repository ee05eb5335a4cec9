#include "turmericplank/placement/lease.hpp"

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

Lease makeLease(const char *self)
{
    LeaseOptions options;
    options.self = base::DaemonId(self);
    options.key = "lease";
    options.duration = std::chrono::milliseconds(5500);
    options.safetyMargin = std::chrono::milliseconds(3500);
    options.renewInterval = std::chrono::milliseconds(900);
    options.retryInterval = std::chrono::milliseconds(400);
    return Lease(options);
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
