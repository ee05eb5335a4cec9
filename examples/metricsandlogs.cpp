// Writes log lines at two levels, updates a counter and a histogram, and prints the metrics in the text format.
#include <iostream>

#include "turmericplank/telemetry/log.hpp"
#include "turmericplank/telemetry/metrics.hpp"

using namespace turmericplank;

int main()
{
    telemetry::startLogging(telemetry::LogLevel::Info);
    telemetry::log(telemetry::LogLevel::Info, "routing", "chose endpoint", {{"endpoint", "engine-1"}, {"reason", "less_work"}});
    telemetry::log(telemetry::LogLevel::Debug, "routing", "not written at this level");
    telemetry::setLogLevel(telemetry::LogLevel::Debug);
    telemetry::log(telemetry::LogLevel::Debug, "routing", "written now");

    telemetry::Metrics metrics;
    metrics.count("requests_total{outcome=\"answered\"}");
    metrics.observe("first_token_seconds", 0.120);
    std::cout << metrics.text();
    return metrics.counter("requests_total{outcome=\"answered\"}") == 1 ? 0 : 1;
}
