#include "common/faults.hpp"

#include <doctest/doctest.h>

using namespace turmericplank::standins;

TEST_CASE("a request to set faults replaces the faults set before")
{
    const auto faults = readFaults(R"({"delay_ms": 20, "lose_answers": 2, "crash_on": "poison"})");
    REQUIRE(faults);
    CHECK(faults->delay == std::chrono::milliseconds(20));
    CHECK(faults->answersToLose == 2);
    CHECK(faults->crashesOn("a poison b"));
    CHECK_FALSE(faults->crashesOn("water"));
    CHECK(readFaults("{}") == Faults());
    CHECK_FALSE(Faults().crashesOn(""));
}

TEST_CASE("an invalid request to set faults is rejected")
{
    CHECK(readFaults("[]").error() == FaultsError::NotAnObject);
    CHECK(readFaults("{").error() == FaultsError::NotAnObject);
    CHECK(readFaults(R"({"slow": 1})").error() == FaultsError::UnknownFault);
    CHECK(readFaults(R"({"silent": "yes"})").error() == FaultsError::WrongType);
}
