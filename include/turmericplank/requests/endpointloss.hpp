#pragma once

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"

namespace turmericplank::requests {

/// @brief Hash of a request's content, independent of the caller and the request id.
using Fingerprint = base::Number<struct FingerprintTag>;

/// @brief Loss of an endpoint that was running a request; an endpoint that restarts and is lost again counts twice.
struct EndpointLoss
{
    base::EndpointId endpoint;
    base::Incarnation incarnation; ///< last one reported before the request was sent; zero if the endpoint reports none

    friend auto operator<=>(const EndpointLoss &, const EndpointLoss &) = default;
    friend bool operator==(const EndpointLoss &, const EndpointLoss &) = default;
};

} // namespace turmericplank::requests
