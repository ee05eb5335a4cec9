#pragma once

#include <random>

#include "turmericplank/base/time.hpp"

namespace turmericplank::forwarding {

/// @brief Bounds of the retry delay.
struct RetryDelayOptions
{
    base::Duration min = std::chrono::milliseconds(50); ///< about the time until an endpoint frees a slot
    double jitter = 1.0; ///< share of the delay that is added at random, so that callers rejected together do not return together
    double maxPatienceShare = 0.3; ///< upper bound as a share of the patience; callers follow a delay of up to a third of their remaining time
};

/// @brief Delay after which a caller whose call has not run should retry.
///
/// A burst or the loss of an endpoint rejects many callers at once. With equal delays they would all return at once.
/// @param recovery expected time until the cause is gone
/// @param patience how long the caller is still willing to wait
/// @param options bounds of the delay
/// @param random source of the jitter
/// @return at most `maxPatienceShare` of the patience, even if that is less than `min`
base::Duration retryDelay(base::Duration recovery, base::Duration patience, const RetryDelayOptions &options, std::mt19937_64 &random);

} // namespace turmericplank::forwarding
