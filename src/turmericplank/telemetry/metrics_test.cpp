#include "turmericplank/telemetry/metrics.hpp"

#include <doctest/doctest.h>

using turmericplank::telemetry::Metrics;

TEST_CASE("counters add up and appear in the text")
{
    Metrics metrics;
    metrics.count("requests_total{outcome=\"answered\"}");
    metrics.count("requests_total{outcome=\"answered\"}", 2);
    CHECK(metrics.counter("requests_total{outcome=\"answered\"}") == 3);
    CHECK(metrics.counter("other") == 0);
    CHECK(metrics.text().find("requests_total{outcome=\"answered\"} 3\n") != std::string::npos);
}

TEST_CASE("a quantile is accurate to the width of a bin")
{
    Metrics metrics;
    for (int n = 1; n <= 1000; ++n) {
        metrics.observe("seconds", n / 1000.0);
    }
    CHECK(metrics.quantile("seconds", 0.5) == doctest::Approx(0.5).epsilon(0.07));
    CHECK(metrics.quantile("seconds", 0.99) == doctest::Approx(0.99).epsilon(0.07));
    CHECK(metrics.quantile("none", 0.5) == 0);
    CHECK(metrics.text().find("seconds_count 1000\n") != std::string::npos);
}
