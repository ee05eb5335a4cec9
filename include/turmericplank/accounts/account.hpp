#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "turmericplank/base/identifier.hpp"

namespace turmericplank::accounts {

/// @brief SHA-256 of an API key; keys themselves are not kept.
using KeyDigest = std::array<std::uint8_t, 32>;

/// @brief Computes the digest of an API key.
KeyDigest digestKey(std::string_view key);

/// @brief What the limit of an account counts.
enum class UsageUnit {
    Calls, ///< each call counts as one
    Tokens, ///< the tokens of the prompt and the maximum number of tokens of the answer
};

/// @brief How much an account may use, over all daemons together.
struct UsageLimit
{
    UsageUnit unit = UsageUnit::Calls;
    double perSecond = 0; ///< units per second; zero means no limit
    double burst = 0; ///< units that may be used at once, beyond the rate
    double plainCallTokens = 0; ///< tokens that a call counts as if it states none

    /// @brief Whether the use is limited at all.
    bool isLimited() const
    {
        return perSecond > 0;
    }

    friend auto operator<=>(const UsageLimit &, const UsageLimit &) = default;
    friend bool operator==(const UsageLimit &, const UsageLimit &) = default;
};

/// @brief A client account of one version of the configuration.
struct Account
{
    base::CallerName name; ///< visible ASCII characters only, since it is sent in a header
    std::vector<KeyDigest> keys;
    std::optional<std::uint32_t> priority; ///< zero is the most urgent; goes before the priority of the route
    UsageLimit limit;

    friend bool operator==(const Account &, const Account &) = default;
};

/// @brief Units that a call uses of its account's limit.
/// @param limit of the account
/// @param statedTokens tokens of prompt and answer that the call states; nothing if it states none
double usageOf(const UsageLimit &limit, std::optional<std::uint64_t> statedTokens);

/// @brief Urgency of a call at an engine: accounts with a lower priority value first, and the calls of one account by the urgency of their route.
/// @param priorities of all accounts, in ascending order; with fewer than two, the route's urgency is returned
/// @param priority of the call's account; a call without an account yields to all others
/// @param routeUrgency by the route alone, from 0 to 9
/// @return 0 is admitted first, 9 last
std::uint32_t urgencyOf(const std::vector<std::uint32_t> &priorities, std::optional<std::uint32_t> priority, std::uint32_t routeUrgency);

} // namespace turmericplank::accounts
