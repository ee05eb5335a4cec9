#include "platform/table.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using standins::platform::Table;

TEST_CASE("a transaction whose condition fails writes nothing")
{
    Table table;
    REQUIRE(table.transact({{"a", base::RowVersion(0), "1"}}));
    const auto result = table.transact({{"b", base::RowVersion(0), "2"}, {"a", base::RowVersion(0), "3"}});
    REQUIRE_FALSE(result);
    REQUIRE(result.error().size() == 1);
    CHECK(result.error().front().value == "1");
    CHECK(table.rows("").size() == 1);
}

TEST_CASE("a deleted row that is written again gets a new version")
{
    Table table;
    const auto first = table.transact({{"a", std::nullopt, "1"}})->front();
    REQUIRE(table.transact({{"a", first, std::nullopt}}));
    CHECK(table.rows("a").empty());
    const auto second = table.transact({{"a", base::RowVersion(0), "1"}})->front();
    CHECK(second > first);
}

TEST_CASE("rows with a key prefix are returned ordered by key")
{
    Table table;
    REQUIRE(table.transact({{"m/2", std::nullopt, "b"}, {"m/1", std::nullopt, "a"}, {"n", std::nullopt, "c"}}));
    const auto rows = table.rows("m/");
    REQUIRE(rows.size() == 2);
    CHECK(rows.front().key == "m/1");
}
