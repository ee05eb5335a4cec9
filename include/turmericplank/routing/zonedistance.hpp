#pragma once

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::routing {

/// @brief Assumed one-way latency between two availability zones, whose names have the form region/zone.
/// @return zero within a zone, 1.25 ms within a region, 35 ms between regions
base::Duration zoneDistance(const base::ZoneName &from, const base::ZoneName &to);

} // namespace turmericplank::routing
