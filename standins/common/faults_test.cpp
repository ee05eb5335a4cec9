#include "common/faults.hpp"

#include <doctest/doctest.h>

using namespace turmericplank::standins;

TEST_CASE("a request for faults replaces all earlier ones")
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

TEST_CASE("a request that cannot be honoured is refused")
{
    CHECK(readFaults("[]").error() == FaultsError::NotAnObject);
    CHECK(readFaults("{").error() == FaultsError::NotAnObject);
    CHECK(readFaults(R"({"slow": 1})").error() == FaultsError::UnknownFault);
    CHECK(readFaults(R"({"silent": "yes"})").error() == FaultsError::WrongType);
}
