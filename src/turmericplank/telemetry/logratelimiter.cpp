#include "turmericplank/telemetry/logratelimiter.hpp"

#include <utility>

namespace turmericplank::telemetry {

namespace {

std::int64_t wholeSeconds(base::Time time)
{
    return std::chrono::floor<std::chrono::seconds>(time).time_since_epoch().count();
}

} // namespace

LogRateLimiter::LogRateLimiter(std::uint32_t perSecond)
    : m_perSecond(perSecond)
{
}

bool LogRateLimiter::tryAcquire(base::Time now)
{
    const auto second = wholeSeconds(now);
    if (std::exchange(m_second, second) != second) {
        m_taken = 0;
    }
    if (m_taken == m_perSecond) {
        ++m_leftOut;
        m_leftOutIn = second;
        return false;
    }
    ++m_taken;
    return true;
}

std::optional<std::uint64_t> LogRateLimiter::takeSuppressedCount(base::Time now)
{
    if (m_leftOut == 0 || wholeSeconds(now) == m_leftOutIn) {
        return std::nullopt;
    }
    return std::exchange(m_leftOut, 0);
}

} // namespace turmericplank::telemetry
