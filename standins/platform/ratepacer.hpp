#pragma once

#include "turmericplank/base/time.hpp"

namespace turmericplank::standins::platform {

/// @brief Spaces calls evenly at a rate: each call learns when its turn comes.
class RatePacer
{
public:
    /// @param perSecond calls per second, zero for no limit
    explicit RatePacer(double perSecond);

    /// @brief How long a call that comes now would wait.
    /// @param now the present
    base::Duration delayAt(base::Time now) const;

    /// @brief Takes the next turn.
    /// @param now the present
    /// @return when the turn comes
    base::Time reserve(base::Time now);

private:
    base::Duration m_spacing{};
    base::Time m_nextStart{};
};

} // namespace turmericplank::standins::platform
