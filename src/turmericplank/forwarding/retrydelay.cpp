#include "turmericplank/forwarding/retrydelay.hpp"

#include <algorithm>

namespace turmericplank::forwarding {

base::Duration retryDelay(base::Duration recovery, base::Duration patience, const RetryDelayOptions &options, std::mt19937_64 &random)
{
    // The upper bound leaves room for the jitter, so that the returns of callers with little patience are spread as well.
    const auto maxBase = std::chrono::duration_cast<base::Duration>(patience * options.maxPatienceShare / (1 + options.jitter));
    const auto baseDelay = std::max(std::min(std::max(recovery, options.min), maxBase), base::Duration(0));
    const double jitter = std::uniform_real_distribution<double>(0, options.jitter)(random);
    return baseDelay + std::chrono::duration_cast<base::Duration>(baseDelay * jitter);
}

} // namespace turmericplank::forwarding
