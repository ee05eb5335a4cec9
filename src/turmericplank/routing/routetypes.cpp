#include "turmericplank/routing/routetypes.hpp"

namespace turmericplank::routing {

std::string_view toString(RouteReason reason)
{
    switch (reason) {
    case RouteReason::OnlyCandidate:
        return "only_candidate";
    case RouteReason::LessWork:
        return "less_work";
    case RouteReason::PrefixCached:
        return "prefix_cached";
    case RouteReason::CacheMoved:
        return "cache_moved";
    case RouteReason::Closer:
        return "closer";
    case RouteReason::AdapterResident:
        return "adapter_resident";
    case RouteReason::Healthier:
        return "healthier";
    case RouteReason::Probe:
        return "probe";
    case RouteReason::LastResort:
        return "last_resort";
    }
    return "unknown";
}

std::string_view toString(NoRouteReason reason)
{
    switch (reason) {
    case NoRouteReason::UnknownModel:
        return "unknown_model";
    case NoRouteReason::NotResident:
        return "not_resident";
    case NoRouteReason::Excluded:
        return "excluded";
    case NoRouteReason::Unavailable:
        return "unavailable";
    case NoRouteReason::Paused:
        return "paused";
    case NoRouteReason::AllowanceUsed:
        return "allowance_used";
    }
    return "unknown";
}

} // namespace turmericplank::routing
