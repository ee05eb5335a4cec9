#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "turmericplank/gateway/endpointpool.hpp"
#include "turmericplank/gateway/fleet.hpp"
#include "turmericplank/gateway/interface.hpp"
#include "turmericplank/gateway/settings.hpp"
#include "turmericplank/placement/demand.hpp"
#include "turmericplank/placement/engineorders.hpp"
#include "turmericplank/placement/lease.hpp"
#include "turmericplank/placement/ratelimiter.hpp"
#include "turmericplank/placement/replicaplanner.hpp"
#include "turmericplank/telemetry/metrics.hpp"

namespace turmericplank::gateway {

/// @brief Parts of the daemon that placement works with.
struct PlacementParts
{
    boost::asio::io_context &context;
    const WireFormat &wire;
    Fleet &fleet;
    EndpointPool &pool;
    telemetry::Metrics &metrics;
    store::Table table;
    std::function<void(const EngineNotice &)> onEngine; ///< an engine holds something else
    std::function<bool()> hearsHolder; ///< another daemon says that it gives the orders
    std::function<bool()> isReader; ///< this daemon reads the store for its group
};

/// @brief Waiting times of placement.
struct PlacementRunnerOptions
{
    base::Duration tickInterval = std::chrono::milliseconds(50);
    base::Duration planInterval = std::chrono::milliseconds(250);
    base::Duration pausePerEngine = std::chrono::milliseconds(2); ///< between two plans: a plan costs some 10 us an engine
    base::Duration summaryInterval = std::chrono::milliseconds(2000); ///< between two log lines on the demand
    base::Duration renewInterval = std::chrono::milliseconds(900);
    base::Duration followInterval = std::chrono::milliseconds(400); ///< between two looks at the lease while no holder is heard, by one daemon of a group
    base::Duration backupInterval = std::chrono::milliseconds(2000); ///< the same, by the others
    base::Duration holdTime = std::chrono::milliseconds(2000); ///< a holder may give orders this long after its last renewal, two of which may fail
    base::Duration tellTime = std::chrono::milliseconds(2500); ///< by then the engines' entries show what was ordered
    base::Duration orderTimeout = std::chrono::milliseconds(500); ///< engines answer orders in a few milliseconds
    base::Duration storelessTime = std::chrono::seconds(20); ///< a holder goes on without the store; engines refuse it once another has ordered
    base::Duration longestPause = std::chrono::milliseconds(1000); ///< between two ticks of a process that was not suspended
    base::Duration thawReserve = std::chrono::milliseconds(500); ///< beyond the pause between two holders
    /// Follows demand that moves within seconds: fast, middle and slow average, how far ahead, and the first guess of a request's time.
    placement::DemandOptions demand{std::chrono::milliseconds(1500), std::chrono::seconds(4), std::chrono::seconds(4), std::chrono::seconds(2), 0.05};
    base::Duration appearTime = std::chrono::milliseconds(3500); ///< from the first engine's entry to that of the last that started with it
    double weightLoadShare = 1.0; ///< of the weight store's rate
    std::uint32_t adapterLoadsAtOnce = 24;
};

/// @brief Holds the placement lease when it can, and then decides and orders what the engines hold.
class PlacementRunner
{
public:
    PlacementRunner(PlacementParts parts, const Settings &settings, PlacementRunnerOptions options = {});

    /// @brief Another version of the configuration is in force.
    void onConfiguration();
    /// @brief The endpoints' entries were read.
    void onEndpoints();
    /// @brief Adds the lease and what is known of the engines.
    void fillNotice(PeerNotice &notice) const;
    /// @brief Takes another daemon's demand.
    void takeNotice(const PeerNotice &notice);
    /// @brief Gives no more orders, and lets another daemon take the lease at once.
    void stop();
    /// @brief Takes what this daemon has counted.
    void setOwnDemand(std::function<const placement::DemandCounters &()> demand);

private:
    struct Service
    {
        placement::EngineOrders orders;
        placement::RateLimiter weightLoads;
        placement::ReplicaPlanner replicas;
        std::shared_ptr<const configuration::Document> document;
        std::optional<base::Time> restoresFrom; ///< models without an engine are loaded; by then all engines have appeared
    };

    void tick();
    void stepLease(base::Time now);
    void callTable(base::Time now);
    void followTenure(base::Time now);
    void beginTenure(base::Time now);
    void followDemand(base::Time now);
    bool mayOrder(base::Time now) const;
    void plan(base::Time now);
    void planService(const base::ServiceName &name, Service &service, base::Time now);
    void order(const base::ServiceName &name, const placement::Move &move, base::Time now);
    void send(const base::ServiceName &name, const placement::ConditionalOrder &order);
    void orderAnswered(const base::ServiceName &name, const placement::ConditionalOrder &order, placement::ConditionalAnswer answer);
    void ask(const base::ServiceName &name, const base::EndpointId &id);
    void summarize(const base::ServiceName &name, const placement::PlanInput &input, base::Time now);
    void publish(const base::ServiceName &name, const base::EndpointId &id);
    placement::Demand demandOf(const base::ServiceName &name) const;

    PlacementParts m_parts;
    base::DaemonId m_self;
    SiteBounds m_bounds;
    PlacementRunnerOptions m_options;
    placement::Lease m_lease;
    placement::DemandEstimator m_demand;
    std::function<const placement::DemandCounters &()> m_ownDemand;
    std::map<base::ServiceName, Service> m_services;
    struct Known
    {
        EngineNotice notice;
        base::Time tellUntil;
    };

    std::map<base::EndpointId, Known> m_known; ///< engines that were ordered something lately
    std::map<base::EndpointId, base::Time> m_orderedAt; ///< last order of this daemon to each engine
    base::Time m_nextFollow;
    base::Term m_tenure;
    base::Term m_lastTerm; ///< of the latest tenure, also after its end
    base::Term m_refused; ///< an engine has seen a higher term than this
    base::Time m_lastTick;
    base::Time m_storelessUntil; ///< of the tenure, while the store does not answer
    base::Time m_nextPlan;
    base::Time m_lastPlan;
    base::Time m_nextDemand;
    base::Time m_nextSummary;
    bool m_isStopped = false;
};

} // namespace turmericplank::gateway
