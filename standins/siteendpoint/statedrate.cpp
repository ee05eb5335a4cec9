#include "statedrate.hpp"

#include <algorithm>
#include <chrono>

namespace turmericplank::standins::siteendpoint {

namespace {

constexpr auto Window = std::chrono::seconds(4);
constexpr auto NoticeTime = std::chrono::seconds(3);
constexpr double ToleratedFactor = 1.5; ///< of what the limit allows in a window
constexpr double ToleratedCalls = 5; ///< beyond that

} // namespace

void StatedRate::set(std::optional<double> callsPerSecond, base::Time now)
{
    *this = StatedRate();
    m_callsPerSecond = callsPerSecond;
    m_bindsFrom = now + NoticeTime;
}

void StatedRate::noteArrival(base::Time now)
{
    ++m_arrivals;
    if (!m_callsPerSecond) {
        return;
    }
    m_window.push_back(now);
    while (m_window.front() + Window <= now) {
        m_window.pop_front();
    }
    const auto tolerated = static_cast<std::size_t>(ToleratedFactor * *m_callsPerSecond * std::chrono::duration<double>(Window).count() + ToleratedCalls);
    if (now >= m_bindsFrom && m_window.size() > tolerated) {
        m_excess = std::max(m_excess, m_window.size() - tolerated);
    }
}

std::optional<double> StatedRate::callsPerSecond() const
{
    return m_callsPerSecond;
}

std::size_t StatedRate::arrivals() const
{
    return m_arrivals;
}

std::size_t StatedRate::excess() const
{
    return m_excess;
}

} // namespace turmericplank::standins::siteendpoint
