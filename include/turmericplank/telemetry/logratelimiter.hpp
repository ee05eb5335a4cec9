#pragma once

#include <cstdint>
#include <optional>

#include "turmericplank/base/time.hpp"

namespace turmericplank::telemetry {

/// @brief Bounds the log lines of one kind to so many a second; what is left out is counted.
class LogRateLimiter
{
public:
    /// @param perSecond most lines that begin in one second of the clock
    explicit LogRateLimiter(std::uint32_t perSecond);

    /// @brief Whether a line may be written; it is then counted.
    bool tryAcquire(base::Time now);

    /// @brief Lines left out since the last call, once a second has passed that left any out.
    /// @return nothing while there is nothing to tell
    std::optional<std::uint64_t> takeSuppressedCount(base::Time now);

private:
    std::uint32_t m_perSecond;
    std::int64_t m_second = 0;
    std::uint32_t m_taken = 0;
    std::uint64_t m_leftOut = 0;
    std::int64_t m_leftOutIn = 0; ///< second of the latest line left out
};

} // namespace turmericplank::telemetry
