#include "turmericplank/routing/zonedistance.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using routing::zoneDistance;
using namespace std::chrono_literals;

TEST_CASE("zones of the same region are closer than other regions")
{
    const base::ZoneName here("tx/a");
    CHECK(zoneDistance(here, here) == 0us);
    CHECK(zoneDistance(here, base::ZoneName("tx/b")) == 1250us);
    CHECK(zoneDistance(here, base::ZoneName("qc/a")) == 35ms);
}
