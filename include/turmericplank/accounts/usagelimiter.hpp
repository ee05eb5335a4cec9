#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "turmericplank/accounts/account.hpp"
#include "turmericplank/accounts/usagegrant.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::accounts {

/// @brief Lifetimes and factors of a limiter.
struct UsageLimiterOptions
{
    base::Duration grantLifetime = std::chrono::milliseconds(1500); ///< the daemon keeps to its share alone after that
    base::Duration shareLifetime = std::chrono::seconds(10); ///< the limit counts as divided evenly after that
    /// Refill of a bucket, in multiples of the share, while grants are fresh. Demand on one daemon fluctuates more than that of the site; the
    /// admitted fraction corrects what this admits beyond the limit.
    double refillFactor = 1.5;
    base::Duration demandTime = std::chrono::seconds(2); ///< over which the allocator averages demand
    /// Further refill while grants are fresh, in standard deviations of the calls that come to one daemon within the demand time.
    double refillDeviations = 2;
    base::Duration reportTime = std::chrono::seconds(10); ///< for which an account without calls is still reported
    base::Duration minRetryAfter = std::chrono::milliseconds(100);
    base::Duration maxRetryAfter = std::chrono::seconds(5);
};

/// @brief Whether a call is within its account's limit.
struct UsageDecision
{
    bool isAdmitted = true;
    base::Duration retryAfter{0}; ///< of a call that is not admitted

    friend bool operator==(const UsageDecision &, const UsageDecision &) = default;
};

/// @brief Keeps one daemon's part of the limits of accounts.
///
/// Load that it answers: an account that sends many times its limit through all daemons at once. A bucket, refilled by the daemon's share of the
/// limit, bounds what an account adds between two grants. While grants are fresh it admits a call as long as it is not in debt, since the share of
/// a small account may be less than one call; for such accounts the admitted fraction keeps the sum over all daemons within the limit. Without
/// fresh grants, a call that costs more than the bucket holds is admitted by chance.
class UsageLimiter
{
public:
    explicit UsageLimiter(UsageLimiterOptions options = {});

    /// @brief Applies the accounts of a new version of the configuration; a lower limit takes effect at once.
    void setAccounts(const std::vector<Account> &accounts, base::Time now);

    /// @brief Sets the number of daemons among which limits are divided, including this one.
    void setDaemonCount(std::size_t count);

    /// @brief Applies the grants of the allocator. Accounts that are not listed have only the part that is divided evenly.
    void applyGrants(const std::vector<UsageGrant> &grants, base::Time now);

    /// @brief Decides whether a call is admitted, and counts it.
    /// @param account the caller's account; one without a limit is always admitted
    /// @param cost units of the call
    /// @param now current time
    /// @param random source of the choice among calls of an account beyond its limit
    UsageDecision admit(const base::CallerName &account, double cost, base::Time now, std::mt19937_64 &random);

    /// @brief Returns the cost of an admitted call that never ran.
    void giveBack(const base::CallerName &account, double cost);

    /// @brief Counters of the accounts that were used lately, for the allocator.
    std::vector<AccountUse> report(base::Time now) const;

    /// @brief Whether the allocator has been heard lately; accounts are held to this daemon's part of their limits otherwise.
    bool hasFreshGrants(base::Time now) const;

    /// @brief Whether any account has a limit.
    bool hasLimits() const;

    /// @brief Whether calls of any account are being refused or soon will be, so that grants should be renewed often.
    bool isContended() const;

    /// @brief Number of accounts whose calls are refused at present.
    std::size_t limitedAccounts() const;

private:
    struct State
    {
        UsageLimit limit;
        double share = 0;
        double admittedFraction = 1;
        double level = 0; ///< units in the bucket; negative if it is in debt
        base::Time levelAt; ///< when the level was computed
        double extra = 0; ///< units that the bucket has got beyond the share, at the last grant and since
        double meanCost = 0; ///< of the latest calls
        double meanSquareCost = 0;
        bool isGranted = false; ///< the last refill was under a fresh grant
        base::Time usedAt; ///< last call
        bool isUsed = false;
        AccountUse use;
    };

    static bool spendOnChance(State &state, double cost, std::mt19937_64 &random);
    double share(const State &state, base::Time now) const;
    double extraPerSecond(const State &state, double share) const;
    void refill(State &state, base::Time now) const;
    base::Duration retryAfter(const State &state, double cost) const;

    UsageLimiterOptions m_options;
    std::unordered_map<base::CallerName, State> m_states; ///< of the accounts with limits
    std::size_t m_daemonCount = 1;
    std::optional<base::Time> m_grantedAt;
};

} // namespace turmericplank::accounts
