#pragma once

#include "turmericplank/base/time.hpp"

namespace turmericplank::placement {

/// @brief Spaces events by a rate; a short burst may go at once.
class RateLimiter
{
public:
    /// @brief Sets the rate.
    /// @param perSecond events per second, zero for none at all
    void setRate(double perSecond);

    /// @brief Events that may happen at once.
    /// @param now present time
    /// @return at most the burst
    unsigned available(base::Time now) const;

    /// @brief Counts one event.
    /// @param now present time
    void take(base::Time now);

private:
    base::Duration m_interval = std::chrono::seconds(1);
    bool m_isClosed = false;
    base::Time m_paidUntil; ///< time up to which the events so far have used the rate
};

} // namespace turmericplank::placement
