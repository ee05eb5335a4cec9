#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "turmericplank/gateway/connectionpool.hpp"
#include "turmericplank/gateway/interface.hpp"
#include "turmericplank/gateway/settings.hpp"
#include "turmericplank/gateway/sitestate.hpp"
#include "turmericplank/placement/demand.hpp"
#include "turmericplank/placement/engineorders.hpp"
#include "turmericplank/placement/lease.hpp"
#include "turmericplank/placement/ratelimiter.hpp"
#include "turmericplank/placement/replicaplanner.hpp"
#include "turmericplank/telemetry/metrics.hpp"

namespace turmericplank::gateway {

/// @brief Components of the daemon that placement uses.
struct PlacementDependencies
{
    boost::asio::io_context &context;
    const WireFormat &wire;
    SiteState &siteState;
    ConnectionPool &pool;
    telemetry::Metrics &metrics;
    store::Table table;
    std::function<void(const EngineUpdate &)> onEngineUpdate; ///< the models resident on an engine have changed
    std::function<bool()> isHolderHeard; ///< another daemon claims the placement lease
    std::function<bool()> areAllDaemonsHeard; ///< no daemon that was heard lately has fallen silent
    std::function<bool()> isStoreReader; ///< this daemon reads the store on behalf of its group
};

/// @brief Intervals, timeouts and limits of placement.
struct PlacementRunnerOptions
{
    base::Duration tickInterval = std::chrono::milliseconds(50);
    base::Duration planInterval = std::chrono::milliseconds(250);
    base::Duration minPlanIntervalPerEngine = std::chrono::milliseconds(2); ///< between plans, for each engine: a plan costs about 10 us per engine
    base::Duration summaryInterval = std::chrono::milliseconds(2000); ///< between log lines with the demand
    base::Duration renewInterval = std::chrono::milliseconds(900);
    base::Duration leaseReadInterval = std::chrono::milliseconds(400); ///< between reads of the lease while no holder is heard, by the reader of a group
    base::Duration backupLeaseReadInterval = std::chrono::milliseconds(2000); ///< the same, by the other daemons
    base::Duration leaseHoldTime = std::chrono::milliseconds(2000); ///< how long a holder may send orders after its last renewal; two renewals may fail
    base::Duration engineUpdateLifetime = std::chrono::milliseconds(2500); ///< how long updates are published; by then the engines' entries include the orders
    base::Duration orderTimeout = std::chrono::milliseconds(500); ///< engines answer orders in a few milliseconds
    /// How long a holder continues while it cannot reach the store; see placement::mayOrderWithoutTable().
    base::Duration maxTimeWithoutStore = std::chrono::seconds(20);
    base::Duration maxTickGap = std::chrono::milliseconds(1000); ///< a longer gap between ticks means that the process was suspended
    base::Duration suspensionMargin = std::chrono::milliseconds(500); ///< added to the pause between two holders, in case a process is suspended
    /// For demand that changes within seconds: time constants of the fast, medium and slow average, forecast time, and the
    /// service time in seconds that is assumed for a model without a finished request.
    placement::DemandOptions demand{std::chrono::milliseconds(1500), std::chrono::seconds(4), std::chrono::seconds(4), std::chrono::seconds(2), 0.05};
    base::Duration engineAppearanceTime = std::chrono::milliseconds(3500); ///< between the first and the last entry of engines that start together
    double weightLoadShare = 1.0; ///< share of the weight store's rate
    std::uint32_t maxConcurrentAdapterLoads = 24;
};

/// @brief Competes for the placement lease; as its holder, decides which models are resident on each engine and sends the orders.
class PlacementRunner
{
public:
    PlacementRunner(PlacementDependencies dependencies, const Settings &settings, PlacementRunnerOptions options = {});

    /// @brief Applies the configuration in force after a change.
    void updateConfiguration();
    /// @brief Applies the endpoints' entries after a read.
    void updateEngines();
    /// @brief Adds the term of the lease and the engines' states known from recent orders.
    void fillStatus(PeerStatus &status) const;
    /// @brief Records another daemon's demand.
    void handlePeerStatus(const PeerStatus &status);
    /// @brief Notes the era of the store; see placement::Lease::noteEra().
    void noteStoreEra(base::StoreEra era);
    /// @brief Whether this daemon may send orders now; false at once when it resumes after its lease has expired.
    bool isHolder() const;
    /// @brief Stops sending orders and releases the lease, so that another daemon can take it at once.
    void stop();
    /// @brief Sets the source of this daemon's own demand.
    void setOwnDemandSource(std::function<const placement::DemandCounters &()> demand);

private:
    struct Service
    {
        placement::EngineOrders orders;
        placement::RateLimiter weightLoads;
        placement::ReplicaPlanner replicas;
        std::shared_ptr<const configuration::Document> document;
        std::optional<base::Time> restoreModelsFrom; ///< from then on models without an engine are loaded, since all engines should have appeared
    };

    void tick();
    void advanceLease(base::Time now);
    void runLeaseStep(base::Time now);
    void updateActiveTerm(base::Time now);
    void beginTerm(base::Time now);
    void updateDemand(base::Time now);
    bool wasSuspended(base::Time now) const;
    bool mayOrder(base::Time now) const;
    bool mayStillSend(const placement::ConditionalOrder &order) const;
    void plan(base::Time now);
    void planService(const base::ServiceName &name, Service &service, base::Time now);
    void issueOrder(const base::ServiceName &name, const placement::Move &move, base::Time now);
    void sendOrder(const base::ServiceName &name, const placement::ConditionalOrder &order);
    void handleOrderResponse(const base::ServiceName &name, const placement::ConditionalOrder &order, placement::ConditionalAnswer answer);
    void requestState(const base::ServiceName &name, const base::EndpointId &id);
    void logDemandSummary(const base::ServiceName &name, const placement::PlanInput &input, base::Time now);
    void publishEngineUpdate(const base::ServiceName &name, const base::EndpointId &id);
    placement::Demand serviceDemand(const base::ServiceName &name) const;

    PlacementDependencies m_dependencies;
    base::DaemonId m_self;
    SiteBounds m_bounds;
    PlacementRunnerOptions m_options;
    placement::Lease m_lease;
    placement::DemandEstimator m_demand;
    std::function<const placement::DemandCounters &()> m_ownDemandSource;
    std::map<base::ServiceName, Service> m_services;
    struct RecentUpdate
    {
        EngineUpdate update;
        base::Time publishUntil;
    };

    std::map<base::EndpointId, RecentUpdate> m_engineUpdates; ///< for engines with recent orders
    std::map<base::EndpointId, base::Time> m_lastOrderAt; ///< time of this daemon's last order to each engine
    base::Time m_nextLeaseRead;
    base::Term m_activeTerm; ///< term under which this daemon sends orders; zero if it may not
    base::Term m_staleTerm; ///< highest own term that an engine has rejected for a later one
    base::Time m_lastTick;
    base::Time m_orderWithoutStoreUntil; ///< how long the active term lasts while the store is down
    base::Time m_nextPlan;
    base::Time m_lastPlan;
    base::Time m_nextDemand;
    base::Time m_nextSummary;
    bool m_isStopped = false;
};

} // namespace turmericplank::gateway
