#include "sitestore/tables.hpp"

#include <doctest/doctest.h>

using turmericplank::standins::sitestore::Tables;
using Json = Tables::Json;

namespace {

Json row(const std::string &key)
{
    return {{"table", "t"}, {"part", "p"}, {"key", key}};
}

Json with(Json row, const char *name, const Json &value)
{
    row[name] = value;
    return row;
}

} // namespace

TEST_CASE("a transaction applies all its writes or none")
{
    Tables tables;
    CHECK(tables.transact({{"expected", {with(row("a"), "ver", 0)}}, {"writes", {with(row("a"), "value", "eA==")}}}).first == 200);
    const auto rejected = tables.transact({{"expected", {with(row("a"), "ver", 0)}}, {"writes", {with(row("b"), "value", "eQ==")}}});
    CHECK(rejected.first == 412);
    CHECK(rejected.second["rows"].size() == 1);
    CHECK(tables.rows("t", "p", "", 500)["rows"].size() == 1);
    CHECK(tables.transact({{"expected", {with(row("a"), "ver", 1)}}, {"remove", {row("a")}}}).first == 200);
    CHECK(tables.rows("t", "p", "", 500)["rows"].empty());
}

TEST_CASE("changes are returned in order of their versions, removals are marked")
{
    Tables tables;
    tables.transact({{"writes", {with(row("b"), "value", "eA==")}}});
    tables.transact({{"writes", {with(row("a"), "value", "eA==")}}});
    tables.transact({{"remove", {row("b")}}});
    const auto changes = tables.changes("t", 1);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0]["key"] == "a");
    CHECK(changes[1]["removed"] == true);
    CHECK(tables.rows("t", "p", "", 0)["truncated"] == true);
}
