#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "engine/prefixcache.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::standins::engine {

/// @brief A change of the cache as it is published.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    base::Time visibleFrom;
    CacheChange change;
};

/// @brief Published cache events: late, and with gaps where one was dropped.
class EventLog
{
public:
    /// @param lag time from a change to its publication
    /// @param capacity events that are kept
    /// @param seed of the drops
    EventLog(base::Duration lag, std::size_t capacity, std::uint64_t seed);

    /// @brief Records a change; a dropped one leaves a gap in the sequence.
    /// @param change what changed
    /// @param now the present
    /// @param dropProbability share of changes that are never published
    void record(const CacheChange &change, base::Time now, double dropProbability);

    /// @brief Events that are visible by now.
    /// @param from lowest sequence number
    /// @param now the present
    std::vector<CacheEvent> visible(std::uint64_t from, base::Time now) const;

private:
    base::Duration m_lag;
    std::size_t m_capacity;
    std::mt19937_64 m_random;
    std::uint64_t m_nextSequence = 1;
    std::deque<CacheEvent> m_events;
};

} // namespace turmericplank::standins::engine
