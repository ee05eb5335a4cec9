#include "engine/eventlog.hpp"

namespace turmericplank::standins::engine {

EventLog::EventLog(base::Duration lag, std::size_t capacity, std::uint64_t seed)
    : m_lag(lag)
    , m_capacity(capacity)
    , m_random(seed)
{
}

void EventLog::record(const CacheChange &change, base::Time now, double dropProbability)
{
    const auto sequence = m_nextSequence++;
    if (std::uniform_real_distribution<>()(m_random) < dropProbability) {
        return;
    }
    m_events.push_back({sequence, now + m_lag, change});
    if (m_events.size() > m_capacity) {
        m_events.pop_front();
    }
}

std::vector<CacheEvent> EventLog::visible(std::uint64_t from, base::Time now) const
{
    std::vector<CacheEvent> events;
    for (const auto &it : m_events) {
        if (it.sequence >= from && it.visibleFrom <= now) {
            events.push_back(it);
        }
    }
    return events;
}

} // namespace turmericplank::standins::engine
