#pragma once

#include "turmericplank/base/time.hpp"

namespace turmericplank::standins::platform {

/// @brief Spaces calls evenly at a rate: each call learns when its turn comes.
class RateGate
{
public:
    /// @param perSecond calls per second, zero for no limit
    explicit RateGate(double perSecond);

    /// @brief How long a call that comes now would wait.
    /// @param now the present
    base::Duration wait(base::Time now) const;

    /// @brief Takes the next turn.
    /// @param now the present
    /// @return when the turn comes
    base::Time take(base::Time now);

private:
    base::Duration m_spacing{};
    base::Time m_nextTurn{};
};

} // namespace turmericplank::standins::platform
