#pragma once

#include <cstdint>
#include <optional>

#include "turmericplank/base/time.hpp"

namespace turmericplank::telemetry {

/// @brief Limits the rate of one kind of log line and counts the suppressed lines.
class LogRateLimiter
{
public:
    /// @param maxPerSecond maximum number of lines in one second of the clock
    explicit LogRateLimiter(std::uint32_t maxPerSecond);

    /// @brief Whether a line may be written now; counts it as written or as suppressed.
    bool tryAcquire(base::Time now);

    /// @brief Takes the number of lines suppressed since the last report and resets it.
    /// @return `std::nullopt` if no line was suppressed, or while the second of the last suppressed line has not ended
    std::optional<std::uint64_t> takeSuppressedCount(base::Time now);

private:
    std::uint32_t m_maxPerSecond;
    std::int64_t m_currentSecond = 0;
    std::uint32_t m_writtenInSecond = 0;
    std::uint64_t m_suppressed = 0;
    std::int64_t m_lastSuppressedSecond = 0; ///< second of the most recently suppressed line
};

} // namespace turmericplank::telemetry
