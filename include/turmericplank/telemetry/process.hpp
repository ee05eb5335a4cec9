#pragma once

#include "turmericplank/telemetry/metrics.hpp"

namespace turmericplank::telemetry {

/// @brief Sets the gauges process_cpu_seconds_total and process_resident_bytes from the operating system.
void updateProcessMetrics(Metrics &metrics);

} // namespace turmericplank::telemetry
