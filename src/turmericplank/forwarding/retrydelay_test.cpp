#include "turmericplank/forwarding/retrydelay.hpp"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::forwarding;
using std::chrono::milliseconds;

TEST_CASE("callers that are rejected together do not return together")
{
    std::mt19937_64 random(1);
    std::vector<base::Duration> delays;
    for (int n = 0; n < 200; ++n) {
        delays.push_back(retryDelay(milliseconds(400), milliseconds(15000), {}, random));
    }
    const auto [min, max] = std::ranges::minmax(delays);
    CHECK(min >= milliseconds(400));
    CHECK(max <= milliseconds(800));
    for (int slot = 0; slot < 4; ++slot) {
        const auto from = milliseconds(400 + slot * 100);
        const auto inSlot = std::ranges::count_if(delays, [from](auto it) { return it >= from && it < from + milliseconds(100); });
        CHECK(inSlot < 80);
    }
}

TEST_CASE("the delay stays within the share of the remaining time that callers follow")
{
    std::mt19937_64 random(1);
    bool differs = false;
    const auto first = retryDelay(milliseconds(5000), milliseconds(1500), {}, random);
    for (int n = 0; n < 100; ++n) {
        const auto it = retryDelay(milliseconds(5000), milliseconds(1500), {}, random);
        CHECK(it >= milliseconds(225));
        CHECK(it <= milliseconds(450));
        differs = differs || it != first;
    }
    CHECK(differs);
    CHECK(retryDelay(milliseconds(5000), milliseconds(-20), {}, random) == milliseconds(0));
}
