#include "platform/rategate.hpp"

#include <algorithm>

namespace turmericplank::standins::platform {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

RateGate::RateGate(double perSecond)
    : m_spacing(perSecond > 0 ? static_cast<std::int64_t>(MicrosecondsPerSecond / perSecond) : 0)
{
}

base::Duration RateGate::wait(base::Time now) const
{
    return std::max(m_nextTurn - now, base::Duration::zero());
}

base::Time RateGate::take(base::Time now)
{
    const auto turn = std::max(m_nextTurn, now);
    m_nextTurn = turn + m_spacing;
    return turn;
}

} // namespace turmericplank::standins::platform
