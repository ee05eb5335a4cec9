#include "turmericplank/placement/lease.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::placement;

namespace {

constexpr auto Tick = std::chrono::milliseconds(50);

/// One row, and daemons that call it without delay.
class Site
{
public:
    void step(Lease &lease)
    {
        switch (lease.tick(now)) {
        case LeaseStep::None:
            return;
        case LeaseStep::Read:
            lease.rowsRead(now, m_version == 0 ? std::vector<store::Row>() : std::vector{store::Row{"lease", base::RowVersion(m_version), m_value}});
            return;
        case LeaseStep::Write:
            write(lease);
            return;
        }
    }

    /// Runs daemons until a time; those that are not named stand still.
    void runUntil(base::Time end, std::vector<Lease *> leases)
    {
        for (; now < end; now += Tick) {
            for (auto *it : leases) {
                step(*it);
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

Lease leaseOf(const char *self)
{
    LeaseOptions options;
    options.self = base::DaemonId(self);
    options.key = "lease";
    options.length = std::chrono::milliseconds(5500);
    options.safety = std::chrono::milliseconds(3500);
    options.renewInterval = std::chrono::milliseconds(900);
    options.retryInterval = std::chrono::milliseconds(400);
    return Lease(options);
}

} // namespace

TEST_CASE("a lease that was given up is taken over at once, with the endpoints that were ordered lately")
{
    Site site;
    auto first = leaseOf("first");
    auto second = leaseOf("second");
    site.runUntil(site.now + std::chrono::seconds(2), {&first, &second});
    REQUIRE(first.isHeld(site.now));
    const auto stoppedAt = site.now;
    first.release({base::EndpointId("e")});
    CHECK_FALSE(first.isHeld(site.now));
    CHECK(first.isReleaseDue());
    site.runUntil(stoppedAt + std::chrono::milliseconds(500), {&first, &second});
    CHECK_FALSE(first.isReleaseDue());
    CHECK(second.isHeld(site.now));
    CHECK(second.term() > base::Term(1));
    REQUIRE(second.predecessor());
    CHECK(second.predecessor()->orderedLately == std::vector{base::EndpointId("e")});
    site.runUntil(site.now + std::chrono::seconds(10), {&first, &second});
    CHECK(second.isHeld(site.now));
    CHECK_FALSE(first.isUncontested());
}

TEST_CASE("a lease that is not renewed is taken over when it lapses, not a poll later")
{
    Site site;
    auto first = leaseOf("first");
    auto second = leaseOf("second");
    site.runUntil(site.now + std::chrono::seconds(2), {&first, &second});
    REQUIRE(first.isHeld(site.now));
    const auto killedAt = site.now;
    site.runUntil(killedAt + std::chrono::milliseconds(4500), {&second});
    CHECK_FALSE(second.isHeld(site.now));
    site.runUntil(killedAt + std::chrono::milliseconds(6000), {&second});
    CHECK(second.isHeld(site.now));
    REQUIRE(second.predecessor());
    CHECK_FALSE(second.predecessor()->isReleased);
}

TEST_CASE("a released row reads back as it was written")
{
    const LeaseRow row{base::DaemonId("d"), base::Term(3), 4, base::timeFromMilliseconds(5), true, {base::EndpointId("e"), base::EndpointId("f")}};
    CHECK(decodeLeaseRow(encode(row)) == row);
    const LeaseRow held{base::DaemonId("d"), base::Term(3), 4, base::timeFromMilliseconds(5), false, {}};
    CHECK(decodeLeaseRow(encode(held)) == held);
    CHECK_FALSE(decodeLeaseRow(R"({"holder":"d","term":3,"renewal":4,"deadline":5,"ordered_lately":[7]})"));
}
