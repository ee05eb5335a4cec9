#include "turmericplank/gateway/entryselection.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;

TEST_CASE("callers get the daemons of their zone, or all daemons if the zone has too few")
{
    const base::Address a1{"10.0.0.1", 80};
    const base::Address a2{"10.0.0.2", 80};
    const base::Address b1{"10.0.1.1", 80};
    const std::vector<EntryDaemon> entries = {{a1, base::ZoneName("a")}, {a2, base::ZoneName("a")}, {b1, base::ZoneName("b")}};
    CHECK(selectEntries({"host", base::ZoneName("a")}, entries, 2) == std::vector{a1, a2});
    CHECK(selectEntries({"host", base::ZoneName("b")}, entries, 2) == std::vector{a1, a2, b1});
    CHECK(selectEntries({"host", base::ZoneName("")}, entries, 2) == std::vector{a1, a2, b1});
    CHECK(selectEntries({"host", base::ZoneName("a")}, {}, 2).empty());
}
