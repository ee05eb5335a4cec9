#include "turmericplank/telemetry/decisionlog.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::telemetry;

TEST_CASE("a decision is found by its request and the names in it, but not by other fields")
{
    DecisionLog log(10);
    log.add(base::timeFromMilliseconds(1), "first", {{"request", "r-1"}, {"model", "m"}, {"reason", "why"}});
    log.add(base::timeFromMilliseconds(2), "second", {{"request", "r-2"}, {"model", "m"}});
    REQUIRE(log.find("m").size() == 2);
    CHECK(log.find("m").front().text == "first");
    CHECK(log.find("r-2").front().at == base::timeFromMilliseconds(2));
    CHECK(log.find("why").empty());
}

TEST_CASE("the oldest decisions are dropped when the log is full")
{
    DecisionLog log(3);
    for (int n = 0; n < 10; ++n) {
        log.add({}, std::to_string(n), {{"request", std::to_string(n % 2)}, {"model", "m"}});
    }
    CHECK(log.size() == 3);
    CHECK(log.find("m").front().text == "7");
    REQUIRE(log.find("1").size() == 2);
    CHECK(log.find("1").back().text == "9");
    CHECK(log.find("0").size() == 1);
}
