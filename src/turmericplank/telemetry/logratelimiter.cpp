#include "turmericplank/telemetry/logratelimiter.hpp"

#include <utility>

namespace turmericplank::telemetry {

namespace {

std::int64_t epochSeconds(base::Time time)
{
    return std::chrono::floor<std::chrono::seconds>(time).time_since_epoch().count();
}

} // namespace

LogRateLimiter::LogRateLimiter(std::uint32_t maxPerSecond)
    : m_maxPerSecond(maxPerSecond)
{
}

bool LogRateLimiter::tryAcquire(base::Time now)
{
    const auto second = epochSeconds(now);
    if (std::exchange(m_currentSecond, second) != second) {
        m_writtenInSecond = 0;
    }
    if (m_writtenInSecond == m_maxPerSecond) {
        ++m_suppressed;
        m_lastSuppressedSecond = second;
        return false;
    }
    ++m_writtenInSecond;
    return true;
}

std::optional<std::uint64_t> LogRateLimiter::takeSuppressedCount(base::Time now)
{
    if (m_suppressed == 0 || epochSeconds(now) == m_lastSuppressedSecond) {
        return std::nullopt;
    }
    return std::exchange(m_suppressed, 0);
}

} // namespace turmericplank::telemetry
