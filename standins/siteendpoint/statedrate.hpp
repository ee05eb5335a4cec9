#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "turmericplank/base/time.hpp"

namespace turmericplank::standins::siteendpoint {

/// @brief Limit of calls per second that an endpoint states, and how far the calls that arrive exceed what it tolerates.
class StatedRate
{
public:
    /// @brief Begins to state a limit, or ends to do so, and forgets earlier calls.
    /// @param callsPerSecond the limit; nothing for none
    /// @param now current time
    void set(std::optional<double> callsPerSecond, base::Time now);

    /// @brief Records the arrival of a call.
    void noteArrival(base::Time now);

    /// @brief The limit to be stated.
    std::optional<double> callsPerSecond() const;

    /// @brief Calls since the limit was set.
    std::size_t arrivals() const;

    /// @brief Most calls in any 4 s that were not tolerated, from 3 s after the limit was set.
    std::size_t excess() const;

private:
    std::optional<double> m_callsPerSecond;
    base::Time m_bindsFrom;
    std::deque<base::Time> m_window; ///< latest arrivals
    std::size_t m_arrivals = 0;
    std::size_t m_excess = 0;
};

} // namespace turmericplank::standins::siteendpoint
