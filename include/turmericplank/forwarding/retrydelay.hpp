#pragma once

#include <random>

#include "turmericplank/base/time.hpp"

namespace turmericplank::forwarding {

/// @brief Bounds of the advice to come back.
struct RetryDelayOptions
{
    base::Duration least = std::chrono::milliseconds(50); ///< about a slot's turn at an endpoint
    double spread = 1.0; ///< callers refused together return over this part of the wait, so that they do not collide again
    double mostOfPatience = 0.3; ///< callers follow the advice up to a third of the time that they have left
};

/// @brief When a caller whose call has not run had better come back.
///
/// Load pattern: a burst, or an endpoint that went down, turns many callers away at the same moment. All would return at
/// the same moment too, if they were told the same.
/// @param relief when the cause is expected to be over, from now
/// @param patience how long the caller still waits
/// @param options bounds
/// @param random spreads the callers
base::Duration retryDelay(base::Duration relief, base::Duration patience, const RetryDelayOptions &options, std::mt19937_64 &random);

} // namespace turmericplank::forwarding
