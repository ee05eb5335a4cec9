#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/daemon/environment.hpp"
#include "turmericplank/daemon/peertarget.hpp"
#include "turmericplank/net/httptypes.hpp"
#include "turmericplank/placement/controller.hpp"
#include "turmericplank/placement/demand.hpp"

namespace turmericplank::daemon {

/// @brief What placement needs of the rest of the daemon; empty hooks have harmless defaults.
struct PlacementShellOptions
{
    std::function<std::shared_ptr<const configuration::Document>()> document; ///< configuration in force, or nothing
    std::function<base::Revision()> revision; ///< revision in force
    std::function<bool(const base::EndpointId &)> isLive; ///< whether membership believes in an endpoint
    std::function<placement::DemandCounters()> demand; ///< calls that this daemon counted since its start
    std::function<std::vector<PeerTarget>()> peers; ///< the other daemons of the cell
    placement::PlannerOptions planner;
};

/// @brief Holds the cell's placement lease when it can, plans, and sends orders to the engines.
class PlacementShell
{
public:
    /// @param environment shared parts, which outlive this
    /// @param options hooks to the rest of the daemon
    PlacementShell(Environment &environment, PlacementShellOptions options);

    /// @brief Notes that an endpoint's VM is gone for good.
    void endpointGone(const base::EndpointId &endpoint);

    /// @brief Stops for good: the lease is left to lapse. For a daemon that leaves.
    void stop();

    /// @brief Lease, replicas and orders under way as JSON, for GET /admin/placement and the status.
    std::string status() const;

private:
    void tick();
    void perform(placement::Actions actions);
    void performOne(const placement::Action &action);
    void sendOrder(const placement::Order &order);
    void fetchInventory(const base::EndpointId &endpoint, std::function<void(std::optional<placement::Inventory>)> onDone);
    void takeDocument();
    void updateLive(base::Time now);
    void probeSilent(base::Time now);
    void readMachines(base::Time now);
    void collectDemand(base::Time now);
    void logLease(base::Time now);

    Environment &m_environment;
    PlacementShellOptions m_options;
    placement::DemandEstimator m_estimator;
    placement::Controller m_controller;
    std::shared_ptr<const configuration::Document> m_document;
    std::map<base::EndpointId, base::Address> m_addresses; ///< of every endpoint that was ever configured
    std::map<base::EndpointId, base::Time> m_heard; ///< last inventory
    base::Time m_nextDemand;
    base::Time m_nextProbe;
    base::Time m_nextMachines;
    std::set<std::string> m_listed; ///< VMs that the platform's list named
    base::Term m_loggedTerm;
    bool m_wasWithoutTable = false;
    bool m_isStopped = false;
};

} // namespace turmericplank::daemon
