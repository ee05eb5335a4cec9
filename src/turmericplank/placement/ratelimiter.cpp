#include "turmericplank/placement/ratelimiter.hpp"

#include <algorithm>

namespace turmericplank::placement {

namespace {

constexpr unsigned Burst = 2;

} // namespace

void RateLimiter::setRate(double perSecond)
{
    m_isClosed = perSecond <= 0;
    if (!m_isClosed) {
        m_interval = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1.0 / perSecond));
    }
}

unsigned RateLimiter::available(base::Time now) const
{
    if (m_isClosed) {
        return 0;
    }
    const auto free = now + Burst * m_interval - std::max(m_paidUntil, now);
    return static_cast<unsigned>(free / std::max(m_interval, base::Duration(1)));
}

void RateLimiter::take(base::Time now)
{
    m_paidUntil = std::max(m_paidUntil, now) + m_interval;
}

} // namespace turmericplank::placement
