#include "statedrate.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::standins::siteendpoint;
using namespace std::chrono_literals;

TEST_CASE("calls beyond one and a half times a limit in 4 s, and 5 more, are an excess once the limit binds")
{
    StatedRate rate;
    auto now = base::timeFromMilliseconds(1000);
    rate.set(1.0, now);
    for (int n = 0; n < 50; ++n) {
        rate.noteArrival(now);
    }
    CHECK(rate.excess() == 0);
    now += 4s;
    for (int n = 0; n < 11; ++n) {
        rate.noteArrival(now);
    }
    CHECK(rate.excess() == 0);
    rate.noteArrival(now + 1s);
    CHECK(rate.excess() == 1);
    rate.noteArrival(now + 4s);
    CHECK(rate.excess() == 1);
    CHECK(rate.arrivals() == 63);
    rate.set(std::nullopt, now);
    CHECK(rate.arrivals() == 0);
    CHECK_FALSE(rate.callsPerSecond());
}
