#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "engine/prefixcache.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::standins::engine {

/// @brief A published cache change.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    base::Time visibleFrom;
    CacheChange change;
};

/// @brief Publishes cache events with a delay and, if some are dropped, with gaps in their sequence numbers.
class EventLog
{
public:
    /// @param lag time from a change to its publication
    /// @param capacity number of events to keep
    /// @param seed seed of the generator that decides which events are dropped
    EventLog(base::Duration lag, std::size_t capacity, std::uint64_t seed);

    /// @brief Records a change. A dropped change leaves a gap in the sequence numbers.
    /// @param dropProbability probability in [0, 1] that the change is not published
    void record(const CacheChange &change, base::Time now, double dropProbability);

    /// @brief Events that are published by now.
    /// @param from lowest sequence number to return
    std::vector<CacheEvent> visible(std::uint64_t from, base::Time now) const;

private:
    base::Duration m_lag;
    std::size_t m_capacity;
    std::mt19937_64 m_random;
    std::uint64_t m_nextSequence = 1;
    std::deque<CacheEvent> m_events;
};

} // namespace turmericplank::standins::engine
