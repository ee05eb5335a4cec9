#pragma once

#include "turmericplank/base/identifier.hpp"

namespace turmericplank::accounts {

/// @brief What one daemon has counted for an account since its start. Cumulative, so that a lost report does no harm.
struct AccountUse
{
    base::CallerName account;
    double requested = 0; ///< units of all calls
    double admitted = 0; ///< units of the calls that were admitted, without those that never ran

    friend auto operator<=>(const AccountUse &, const AccountUse &) = default;
    friend bool operator==(const AccountUse &, const AccountUse &) = default;
};

/// @brief What one daemon may admit of an account's calls.
struct UsageGrant
{
    base::CallerName account;
    double share = 0; ///< of the account's limit; the shares of all daemons add up to 1 at most
    double admittedFraction = 1; ///< of the calls; below 1 while the account asks for more than its limit

    friend auto operator<=>(const UsageGrant &, const UsageGrant &) = default;
    friend bool operator==(const UsageGrant &, const UsageGrant &) = default;
};

/// @brief Part of each limit that is divided evenly among all daemons, so that a daemon can admit an account's first calls.
constexpr double EvenPart = 0.2;

} // namespace turmericplank::accounts
