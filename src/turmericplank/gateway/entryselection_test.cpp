#include "turmericplank/gateway/entryanswer.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;

TEST_CASE("callers are told the entries of their zone, or all where those are too few")
{
    const base::Address a1{"10.0.0.1", 80};
    const base::Address a2{"10.0.0.2", 80};
    const base::Address b1{"10.0.1.1", 80};
    const std::vector<Entry> entries = {{a1, base::ZoneName("a")}, {a2, base::ZoneName("a")}, {b1, base::ZoneName("b")}};
    CHECK(chooseEntries({"host", base::ZoneName("a")}, entries, 2) == std::vector{a1, a2});
    CHECK(chooseEntries({"host", base::ZoneName("b")}, entries, 2) == std::vector{a1, a2, b1});
    CHECK(chooseEntries({"host", base::ZoneName("")}, entries, 2) == std::vector{a1, a2, b1});
    CHECK(chooseEntries({"host", base::ZoneName("a")}, {}, 2).empty());
}
