#include "turmericplank/placement/ratelimiter.hpp"

#include <algorithm>

namespace turmericplank::placement {

namespace {

constexpr unsigned BurstSize = 2;

} // namespace

void RateLimiter::setRate(double perSecond)
{
    m_isDisabled = perSecond <= 0;
    if (!m_isDisabled) {
        m_interval = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1.0 / perSecond));
    }
}

unsigned RateLimiter::available(base::Time now) const
{
    if (m_isDisabled) {
        return 0;
    }
    const auto free = now + BurstSize * m_interval - std::max(m_usedUntil, now);
    return static_cast<unsigned>(free / std::max(m_interval, base::Duration(1)));
}

void RateLimiter::take(base::Time now)
{
    m_usedUntil = std::max(m_usedUntil, now) + m_interval;
}

} // namespace turmericplank::placement
