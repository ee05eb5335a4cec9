#include "turmericplank/forwarding/retrydelay.hpp"

#include <algorithm>

namespace turmericplank::forwarding {

base::Duration retryDelay(base::Duration relief, base::Duration patience, const RetryDelayOptions &options, std::mt19937_64 &random)
{
    // The spread is kept where the caller's patience is short: otherwise all would return at its end.
    const auto longestStart = std::chrono::duration_cast<base::Duration>(patience * options.mostOfPatience / (1 + options.spread));
    const auto start = std::max(std::min(std::max(relief, options.least), longestStart), base::Duration(0));
    const double share = std::uniform_real_distribution<double>(0, options.spread)(random);
    return start + std::chrono::duration_cast<base::Duration>(start * share);
}

} // namespace turmericplank::forwarding
