#pragma once

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::routing {

/// @brief One-way time between two availability zones, by their names of the form region/zone.
/// @param from one zone
/// @param to the other
/// @return none within a zone, 1.25 ms within a region, 35 ms between regions
base::Duration zoneDistance(const base::ZoneName &from, const base::ZoneName &to);

} // namespace turmericplank::routing
