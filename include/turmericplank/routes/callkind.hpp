#pragma once

#include <compare>

namespace turmericplank::routes {

/// @brief What may be done with a call besides running it once.
struct CallKind
{
    bool isRepeatable = false; ///< idempotent: several runs do no harm
    bool isStreamed = false; ///< the answer is a series of numbered events
    bool isResumable = false; ///< a streamed call may go on at another endpoint behind its last event

    /// @brief Whether a second run may be started after a first one may have begun.
    constexpr bool mayRunAgain() const
    {
        return isRepeatable || (isStreamed && isResumable);
    }

    friend constexpr auto operator<=>(const CallKind &, const CallKind &) = default;
    friend constexpr bool operator==(const CallKind &, const CallKind &) = default;
};

} // namespace turmericplank::routes
