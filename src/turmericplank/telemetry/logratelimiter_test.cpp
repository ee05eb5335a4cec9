#include "turmericplank/telemetry/logratelimiter.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using telemetry::LogRateLimiter;

TEST_CASE("a burst of lines is limited in each second, and the suppressed lines are reported once")
{
    LogRateLimiter limiter(50);
    int written = 0;
    for (int second = 10; second < 13; ++second) {
        for (int n = 0; n < 400; ++n) {
            written += limiter.tryAcquire(base::timeFromMilliseconds(second * 1000 + n)) ? 1 : 0;
        }
    }
    CHECK(written == 150);
    CHECK_FALSE(limiter.takeSuppressedCount(base::timeFromMilliseconds(12900)).has_value());
    CHECK(limiter.takeSuppressedCount(base::timeFromMilliseconds(13000)) == 1050);
    CHECK_FALSE(limiter.takeSuppressedCount(base::timeFromMilliseconds(14000)).has_value());
    CHECK(limiter.tryAcquire(base::timeFromMilliseconds(14000)));
}
