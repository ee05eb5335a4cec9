#pragma once

#include <map>
#include <random>
#include <set>

#include <boost/asio/io_context.hpp>

#include "turmericplank/accounts/usageallocator.hpp"
#include "turmericplank/accounts/usagelimiter.hpp"
#include "turmericplank/gateway/call.hpp"
#include "turmericplank/gateway/peers.hpp"
#include "turmericplank/gateway/sitestate.hpp"
#include "turmericplank/peer/mesh.hpp"
#include "turmericplank/telemetry/metrics.hpp"

namespace turmericplank::gateway {

/// @brief Intervals between the reports of a daemon to the holder of the placement lease.
struct AccountLimitsOptions
{
    base::Duration interval = std::chrono::seconds(1);
    base::Duration contendedInterval = std::chrono::milliseconds(250); ///< while calls of an account are refused or soon will be
    base::Duration intervalPerDaemon = std::chrono::milliseconds(2); ///< bounds the reports that the lease holder gets to 500 a second
    base::Duration checkInterval = std::chrono::milliseconds(50); ///< between checks whether a report is due
};

/// @brief Keeps the limits of accounts over all daemons: reports their use to the holder of the placement lease, which returns shares.
///
/// Does nothing while no account has a limit.
class AccountLimits
{
public:
    /// @param context runs the timer
    /// @param self this daemon
    /// @param siteState has the accounts
    /// @param mesh gets the handler of the reports
    /// @param peers know the lease holder
    AccountLimits(boost::asio::io_context &context, const base::DaemonId &self, const SiteState &siteState, peer::Mesh &mesh, Peers &peers,
                  telemetry::Metrics &metrics, std::mt19937_64 &random, AccountLimitsOptions options = {});

    /// @brief Applies the accounts of the configuration in force.
    void updateConfiguration(base::Time now);

    /// @brief Counts a call of an account, and decides whether it is within the limit.
    accounts::UsageDecision admit(const accounts::Account &account, const Call &call, base::Time now);

    /// @brief Returns the cost of an admitted call that never ran.
    void giveBack(const accounts::Account &account, const Call &call);

private:
    bool updateRole(base::Time now);
    void exchange(base::Time now);
    void noteGrants(base::Time now);
    void noteDecision(const base::CallerName &account, bool isAdmitted, base::Time now);

    base::DaemonId m_self;
    const SiteState &m_siteState;
    Peers &m_peers;
    telemetry::Metrics &m_metrics;
    std::mt19937_64 &m_random;
    AccountLimitsOptions m_options;
    accounts::UsageLimiter m_limiter;
    accounts::UsageAllocator m_allocator;
    base::Time m_reportedAt;
    bool m_isAllocating = false;
    bool m_areGrantsFresh = false;
    std::map<base::CallerName, base::Time> m_refusedAt; ///< accounts whose calls were refused lately
    std::set<base::CallerName> m_labels; ///< accounts with a label of their own in the metrics
};

} // namespace turmericplank::gateway
