#pragma once

#include <compare>

namespace turmericplank::routes {

/// @brief How a call may be repeated or resumed.
struct CallKind
{
    bool isRepeatable = false; ///< idempotent: may be run more than once
    bool isStreamed = false; ///< the answer is a sequence of numbered events
    bool isResumable = false; ///< a streamed call can continue on another endpoint after its last event

    /// @brief Whether the call may be run again after a first run may have started.
    constexpr bool mayRunAgain() const
    {
        return isRepeatable || (isStreamed && isResumable);
    }

    friend constexpr auto operator<=>(const CallKind &, const CallKind &) = default;
    friend constexpr bool operator==(const CallKind &, const CallKind &) = default;
};

} // namespace turmericplank::routes
