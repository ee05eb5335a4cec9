#pragma once

#include "turmericplank/base/time.hpp"

namespace turmericplank::placement {

/// @brief Limits the rate of events; short bursts are allowed.
class RateLimiter
{
public:
    /// @brief Sets the rate.
    /// @param perSecond events per second; zero allows no events
    void setRate(double perSecond);

    /// @brief Number of events that may happen now.
    /// @param now present time
    /// @return at most the burst size
    unsigned available(base::Time now) const;

    /// @brief Records one event.
    /// @param now present time
    void take(base::Time now);

private:
    base::Duration m_interval = std::chrono::seconds(1);
    bool m_isDisabled = false;
    base::Time m_usedUntil; ///< time up to which past events have used up the rate
};

} // namespace turmericplank::placement
