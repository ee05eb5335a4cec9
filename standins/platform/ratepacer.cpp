#include "platform/ratepacer.hpp"

#include <algorithm>

namespace turmericplank::standins::platform {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

RatePacer::RatePacer(double perSecond)
    : m_spacing(perSecond > 0 ? static_cast<std::int64_t>(MicrosecondsPerSecond / perSecond) : 0)
{
}

base::Duration RatePacer::delayAt(base::Time now) const
{
    return std::max(m_nextStart - now, base::Duration::zero());
}

base::Time RatePacer::reserve(base::Time now)
{
    const auto startTime = std::max(m_nextStart, now);
    m_nextStart = startTime + m_spacing;
    return startTime;
}

} // namespace turmericplank::standins::platform
