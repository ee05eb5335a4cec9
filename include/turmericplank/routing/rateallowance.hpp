#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::routing {

/// @brief What a daemon knows of an endpoint's limit, for the other daemons.
struct RateReport
{
    base::EndpointId endpoint;
    std::optional<double> callsPerSecond; ///< that the endpoint takes from all daemons together; nothing if it no longer states a limit
    base::Time heardAt; ///< when the endpoint last said so
    double demand = 0; ///< calls per second that the reporting daemon could send

    friend bool operator==(const RateReport &, const RateReport &) = default;
};

/// @brief Intervals and bounds of a rate allowance.
struct RateAllowanceOptions
{
    /// After which all daemons have heard of a change. A share grows only after it, and shrinks at once.
    base::Duration settleTime = std::chrono::seconds(1);
    base::Duration reportLifetime = std::chrono::seconds(2); ///< of another daemon's demand, which is unknown then
    base::Duration startTime = std::chrono::seconds(2); ///< until a daemon that starts knows the others; its shares are the lowest ones meanwhile
    base::Duration leaveTime = std::chrono::seconds(10); ///< for which a daemon that is no longer listed may still send calls
    base::Duration demandTime = std::chrono::seconds(8); ///< over which calls are counted for the demand
    base::Duration burstTime = std::chrono::milliseconds(500); ///< of a share that may be sent at once, if that is more than one call
    base::Duration endOverlap = std::chrono::milliseconds(500); ///< for which answers without a limit may have been sent before it was stated
    /// Daemons that may use a limit at the same time: a fixed number, and more for each call per second. Each may send one call at once, so their
    /// number bounds what can arrive beyond the rate: endpoints tolerate 1.5 times the rate in 4 s and 5 calls more.
    double minDaemons = 4;
    double daemonsPerCall = 1.5;
    double minRate = 0.25; ///< calls per second that are sent even if a limit is lower, since only an answer ends a limit
};

/// @brief Divides the calls per second that endpoints take among all daemons.
///
/// Each daemon reports its demand, and computes its share from the reports alone, so that no agreement is needed. A daemon uses the lowest demand
/// that it has reported within the settle time, and counts the highest demand of others within it, so that the shares of daemons that hear each
/// other do not exceed the limit. One that is not heard counts as one that could use all of it. Time is passed in.
class RateAllowance
{
public:
    explicit RateAllowance(RateAllowanceOptions options = {});

    /// @brief Sets this daemon and the other daemons that may send calls.
    void setDaemons(const base::DaemonId &self, const std::vector<base::DaemonId> &others, base::Time now);

    /// @brief Applies what an endpoint has stated in an answer to this or another daemon.
    /// @param endpoint the endpoint
    /// @param callsPerSecond that it takes from all daemons together; nothing if it states no limit
    /// @param heardAt when it was stated
    /// @param now current time
    void noteStatement(const base::EndpointId &endpoint, std::optional<double> callsPerSecond, base::Time heardAt, base::Time now);

    /// @brief Forgets an endpoint that has started again; earlier statements no longer count.
    void forget(const base::EndpointId &endpoint, base::Time now);

    /// @brief Drops the endpoints that are not listed any more.
    void dropUnlisted(const std::function<bool(const base::EndpointId &)> &isListed);

    /// @brief Applies another daemon's demand for the calls of an endpoint.
    void notePeerDemand(const base::DaemonId &from, const base::EndpointId &endpoint, double demand, base::Time now);

    /// @brief Calls per second that an endpoint takes; nothing if it states no limit.
    std::optional<double> limit(const base::EndpointId &endpoint) const;

    /// @brief Whether this daemon may send a call to an endpoint now.
    /// @param endpoint the endpoint
    /// @param isNew whether the call has not been counted before; it counts as demand if it may not be sent
    /// @param now current time
    bool maySend(const base::EndpointId &endpoint, bool isNew, base::Time now);

    /// @brief Records that a call is sent.
    /// @param endpoint the endpoint
    /// @param isNew whether the call has not been counted before
    /// @param now current time
    void noteSent(const base::EndpointId &endpoint, bool isNew, base::Time now);

    /// @brief Limits and demands to be sent to the other daemons now; the demands count as reported.
    std::vector<RateReport> report(base::Time now);

private:
    struct Demand
    {
        base::Time at;
        double callsPerSecond = 0;
    };
    using Demands = std::deque<Demand>; ///< within the settle time, and the last one before it

    struct Endpoint
    {
        std::optional<double> limit;
        base::Time heardAt; ///< when the endpoint last stated its limit, or that it has none
        base::Time limitHeardAt; ///< when the endpoint last stated a limit
        base::Time ignoredUntil; ///< statements up to this time were another incarnation's
        double calls = 0; ///< that may be sent at once
        base::Time callsAt; ///< when that was computed
        std::optional<double> share; ///< calls per second; nothing while others use the limit
        base::Time shareUntil; ///< when the share is computed again
        std::deque<base::Time> wanted; ///< calls that were sent or could have been, within the demand time
        Demands reported;
        std::map<base::DaemonId, Demands> peers;
    };

    /// A daemon that may send calls to an endpoint.
    struct Claimant
    {
        bool isIdle = false;
        std::uint64_t rank = 0; ///< the same at all daemons
        double demand = 0;
    };

    void addDemand(Demands &demands, double callsPerSecond, base::Time now) const;
    double ownDemand(Endpoint &endpoint, base::Time now) const;
    double peerDemand(const Endpoint &endpoint, const base::DaemonId &peer, double limit, base::Time now) const;
    std::optional<double> computeShare(const base::EndpointId &id, const Endpoint &endpoint, double limit, base::Time now) const;
    void update(const base::EndpointId &id, Endpoint &endpoint, base::Time now);

    RateAllowanceOptions m_options;
    base::DaemonId m_self;
    std::optional<base::Time> m_knownFrom; ///< when this daemon knows the others
    std::map<base::DaemonId, base::Time> m_others; ///< when each was last listed
    std::map<base::EndpointId, Endpoint> m_endpoints;
};

} // namespace turmericplank::routing
