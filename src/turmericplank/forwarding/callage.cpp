#include "turmericplank/forwarding/callage.hpp"

#include <algorithm>

namespace turmericplank::forwarding {

CallAgeEstimator::CallAgeEstimator(CallAgeOptions options)
    : m_options(options)
{
}

base::Duration CallAgeEstimator::note(const std::string &route, std::optional<base::Duration> callerTimeout, base::Time now)
{
    if (!callerTimeout) {
        return base::Duration(0);
    }
    if (now >= m_periodEnd) {
        beginPeriod(now);
    }
    auto &longest = m_longest[route];
    longest.current = std::max(longest.current, *callerTimeout);
    return std::max(longest.current, longest.previous) - *callerTimeout;
}

/// Forgets routes without a call in the period before, so that a changing configuration does not add to them for ever.
void CallAgeEstimator::beginPeriod(base::Time now)
{
    const bool isLongAgo = now >= m_periodEnd + m_options.memoryTime;
    m_periodEnd = now + m_options.memoryTime;
    for (auto &[route, it] : m_longest) {
        it.previous = isLongAgo ? base::Duration(0) : it.current;
        it.current = base::Duration(0);
    }
    std::erase_if(m_longest, [](const auto &it) { return it.second.previous == base::Duration(0); });
}

std::size_t CallAgeEstimator::routes() const
{
    return m_longest.size();
}

bool isExpectedLate(base::Duration age, base::Duration expected, base::Duration objective)
{
    return objective > base::Duration(0) && age + expected > objective;
}

} // namespace turmericplank::forwarding
