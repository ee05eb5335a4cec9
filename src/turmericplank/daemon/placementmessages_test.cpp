#include "placementmessages.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::daemon;
using placement::OrderAnswer;

TEST_CASE("known answers of an engine to an order are recognized, and others count as lost")
{
    CHECK(readOrderAnswer({202, {}, R"({"state": "running"})"}) == OrderAnswer::Running);
    CHECK(readOrderAnswer({202, {}, R"({"state": "done"})"}) == OrderAnswer::Done);
    CHECK(readOrderAnswer({409, {}, R"({"code": "stale_term", "highest_term": 7})"}) == OrderAnswer::StaleTerm);
    CHECK(readOrderAnswer({507, {}, R"({"code": "out_of_memory"})"}) == OrderAnswer::OutOfMemory);
    CHECK(readOrderAnswer({500, {}, "oops"}) == OrderAnswer::Lost);
}

TEST_CASE("an inventory reports the memory in use, not the total memory")
{
    const std::string text = R"({"incarnation": 5, "taken_at": 1, "running": 0, "waiting": 0, "memory_mib": 81920, "used_mib": 1000, "leaving": false,
        "role": "serve", "resident": [{"model": "m", "version": "1"}], "adapters": ["a"], "highest_term": 3, "orders": [{"order_id": "3-1", "state": "done"}]})";
    configuration::Document document;
    document.adapters[base::AdapterName("a")] = {base::AdapterName("a"), base::ModelName("m"), 10};
    const auto inventory = readInventory(document, text);
    REQUIRE(inventory);
    CHECK(inventory->memoryMib == 1000);
    CHECK(inventory->residents.contains(placement::Resident{base::ModelName("m"), {}, base::AdapterName("a")}));
    CHECK(inventory->orders.at("3-1") == OrderAnswer::Done);
    CHECK_FALSE(readInventory(document, "{}"));
}

TEST_CASE("demand counters survive a round trip, and a malformed message is rejected")
{
    placement::DemandCounters counters;
    counters.models[base::ModelName("m")] = {3, 4000};
    counters.adapters[base::AdapterName("a")] = 2;
    CHECK(decodeDemand(encodeDemand(counters)) == counters);
    CHECK_FALSE(decodeDemand("x"));
}
