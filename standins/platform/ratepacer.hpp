#pragma once

#include "turmericplank/base/time.hpp"

namespace turmericplank::standins::platform {

/// @brief Spaces calls evenly to limit their rate: tells each call when it may start.
class RatePacer
{
public:
    /// @param perSecond maximum calls per second, zero for no limit
    explicit RatePacer(double perSecond);

    /// @brief How long a call that arrives now would have to wait.
    base::Duration delayAt(base::Time now) const;

    /// @brief Reserves the next start time.
    /// @return time at which the call may start
    base::Time reserve(base::Time now);

private:
    base::Duration m_spacing{};
    base::Time m_nextStart{};
};

} // namespace turmericplank::standins::platform
