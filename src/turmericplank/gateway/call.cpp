#include "turmericplank/gateway/call.hpp"

namespace turmericplank::gateway {

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoConfiguration:
        return "no_configuration";
    case RefusalReason::NoRoute:
        return "no_route";
    case RefusalReason::BadRequest:
        return "bad_request";
    case RefusalReason::NoEndpoint:
        return "no_endpoint";
    case RefusalReason::NotResident:
        return "not_resident";
    case RefusalReason::Leaving:
        return "leaving";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::Refused:
        return "refused";
    case RefusalReason::Unknown:
        return "unknown";
    case RefusalReason::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

} // namespace turmericplank::gateway
