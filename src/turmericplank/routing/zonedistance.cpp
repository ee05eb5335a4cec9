#include "turmericplank/routing/zonedistance.hpp"

#include <string_view>

namespace turmericplank::routing {

namespace {

constexpr base::Duration BetweenZones = std::chrono::microseconds(1250);
constexpr base::Duration BetweenRegions = std::chrono::milliseconds(35);

std::string_view regionOf(const base::ZoneName &zone)
{
    return std::string_view(zone.text()).substr(0, zone.text().find('/'));
}

} // namespace

base::Duration zoneDistance(const base::ZoneName &from, const base::ZoneName &to)
{
    if (from == to) {
        return base::Duration(0);
    }
    return regionOf(from) == regionOf(to) ? BetweenZones : BetweenRegions;
}

} // namespace turmericplank::routing
