#include "turmericplank/forwarding/retryadvice.hpp"

#include <algorithm>

namespace turmericplank::forwarding {

base::Duration retryAdvice(base::Duration relief, base::Duration patience, const RetryAdviceOptions &options, std::mt19937_64 &random)
{
    const auto shortest = std::max(relief, options.least);
    const double share = std::uniform_real_distribution<double>(0, options.spread)(random);
    const auto spread = std::chrono::duration_cast<base::Duration>(shortest * share);
    const auto most = std::chrono::duration_cast<base::Duration>(patience * options.mostOfPatience);
    return std::max(std::min(shortest + spread, most), base::Duration(0));
}

} // namespace turmericplank::forwarding
