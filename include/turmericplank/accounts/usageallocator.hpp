#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "turmericplank/accounts/account.hpp"
#include "turmericplank/accounts/usagegrant.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::accounts {

/// @brief Intervals of an allocator.
struct UsageAllocatorOptions
{
    base::Duration demandTime = std::chrono::seconds(2); ///< over which the demand on one daemon is averaged, for its share
    base::Duration totalTime = std::chrono::milliseconds(500); ///< over which the demand on all daemons is averaged; short, so that a surge is noticed
    base::Duration reportLifetime = std::chrono::seconds(2); ///< a daemon that is not heard for longer counts as using its last share
    base::Duration shareLifetime = std::chrono::seconds(10); ///< after which such a daemon uses an even share
    base::Duration payBackTime = std::chrono::seconds(2); ///< in which use beyond the limit is made up for
    base::Duration maxDebtTime = std::chrono::seconds(8); ///< of the limit, to which use beyond it is remembered
    base::Duration changeTime = std::chrono::seconds(3); ///< until a lower limit is in force on all daemons
    base::Duration settleTime = std::chrono::milliseconds(1500); ///< until a new allocator has two reports of each daemon
    base::Duration removalTime = std::chrono::seconds(60); ///< a daemon that is not heard for longer is forgotten
    base::Duration sumInterval = std::chrono::milliseconds(100); ///< between two sums over all daemons
};

/// @brief Divides the limits of accounts among all daemons; run by one daemon of the site.
///
/// Load that it answers: the calls of an account spread unevenly over the daemons, move between them, or exceed the limit many times over.
/// Shares follow demand. The use that daemons report is charged to one bucket for each account; its level decides which fraction of the calls
/// is admitted.
class UsageAllocator
{
public:
    explicit UsageAllocator(UsageAllocatorOptions options = {});

    /// @brief Applies the accounts of a new version of the configuration.
    void setAccounts(const std::vector<Account> &accounts, base::Time now);

    /// @brief Sets the number of daemons that take calls, heard or not.
    void setDaemonCount(std::size_t count);

    /// @brief Applies a daemon's report.
    void noteReport(const base::DaemonId &from, const std::vector<AccountUse> &uses, base::Time now);

    /// @brief Grants of one daemon: for the accounts that it has reported, and for those beyond their limit.
    std::vector<UsageGrant> grants(const base::DaemonId &daemon, base::Time now);

    /// @brief Whether the daemons have been heard for long enough that their demand is known; grants would admit too much before.
    bool isSettled(base::Time now) const;

    /// @brief Forgets all that was reported and empties the buckets; for a daemon that begins to allocate.
    void reset(base::Time now);

private:
    struct Demand
    {
        AccountUse reported;
        double perSecond = 0; ///< requested, over the demand time
        double recentPerSecond = 0; ///< requested, over the total time
        double share = 0; ///< last granted
    };

    struct Daemon
    {
        base::Time heardAt;
        std::map<base::CallerName, Demand> demands;
    };

    struct State
    {
        UsageLimit limit;
        double level = 0; ///< units in the bucket; negative after use beyond the limit
        base::Time levelAt; ///< when the level was computed; in the future if it is not refilled until then
        base::Time chargedFrom; ///< use that is reported before is not charged
        double demand = 0; ///< units per second that heard daemons were asked for, over the demand time
        double recentDemand = 0; ///< the same over the total time
        double reserved = 0; ///< shares of daemons that are not heard
    };

    static double demandOf(const Demand &demand);
    bool isHeard(const Daemon &daemon, base::Time now) const;
    double reservedShare(const Daemon &daemon, const base::CallerName &account, base::Time now) const;
    static void emptyBucket(State &state, base::Time until);
    void refill(State &state, base::Time now) const;
    void charge(State &state, double units, base::Time now) const;
    void sumDemand(base::Time now);
    UsageGrant grant(const base::CallerName &account, double demand, State &state, base::Time now) const;

    UsageAllocatorOptions m_options;
    std::size_t m_daemonCount = 1;
    std::map<base::DaemonId, Daemon> m_daemons;
    std::map<base::CallerName, State> m_states;
    std::vector<base::CallerName> m_overLimit; ///< accounts whose demand is above their limit
    std::optional<base::Time> m_summedAt;
    std::optional<base::Time> m_resetAt;
};

} // namespace turmericplank::accounts
