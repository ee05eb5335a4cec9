#include "turmericplank/gateway/call.hpp"

namespace turmericplank::gateway {

std::string_view toString(RejectionReason reason)
{
    switch (reason) {
    case RejectionReason::NoConfiguration:
        return "no_configuration";
    case RejectionReason::NoRoute:
        return "no_route";
    case RejectionReason::BadRequest:
        return "bad_request";
    case RejectionReason::NoEndpoint:
        return "no_endpoint";
    case RejectionReason::NotResident:
        return "not_resident";
    case RejectionReason::VersionUnavailable:
        return "version_unavailable";
    case RejectionReason::Draining:
        return "leaving";
    case RejectionReason::Overloaded:
        return "overloaded";
    case RejectionReason::RejectedByEndpoints:
        return "refused";
    case RejectionReason::OutcomeUnknown:
        return "unknown";
    case RejectionReason::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

} // namespace turmericplank::gateway
