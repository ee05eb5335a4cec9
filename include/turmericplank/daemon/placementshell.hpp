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

/// @brief What the placement shell needs from the rest of the daemon; hooks may be empty, but without a document nothing is placed.
struct PlacementShellOptions
{
    std::function<std::shared_ptr<const configuration::Document>()> document; ///< configuration in force, or null
    std::function<base::Revision()> revision; ///< revision in force
    std::function<bool(const base::EndpointId &)> isLive; ///< whether membership considers an endpoint usable; if empty, all are
    std::function<placement::DemandCounters()> demand; ///< calls counted by this daemon since its start
    std::function<std::vector<PeerTarget>()> peers; ///< the other daemons that are reachable from here
    placement::PlannerOptions planner;
};

/// @brief Competes for the cell's placement lease and, while holding it, plans and sends orders to the engines.
class PlacementShell
{
public:
    /// @param environment shared parts; must outlive the shell
    /// @param options callbacks to the rest of the daemon
    PlacementShell(Environment &environment, PlacementShellOptions options);

    /// @brief Records that an endpoint's VM was removed permanently.
    void endpointGone(const base::EndpointId &endpoint);

    /// @brief Stops placement permanently and lets the lease expire; used when the daemon drains.
    void stop();

    /// @brief Lease, replicas and open orders as JSON, for GET /admin/placement and the status.
    std::string status() const;

private:
    void tick();
    void perform(placement::Actions actions);
    void performOne(const placement::Action &action);
    void sendOrder(const placement::Order &order);
    void fetchInventory(const base::EndpointId &endpoint, std::function<void(std::optional<placement::Inventory>)> onDone);
    void updateDocument();
    void updateLiveEndpoints(base::Time now);
    void probeSilentEndpoints(base::Time now);
    void readVirtualMachines(base::Time now);
    void collectDemand(base::Time now);
    void logLease(base::Time now);

    Environment &m_environment;
    PlacementShellOptions m_options;
    placement::DemandEstimator m_estimator;
    placement::Controller m_controller;
    std::shared_ptr<const configuration::Document> m_document;
    std::map<base::EndpointId, base::Address> m_addresses; ///< address of every endpoint that was ever configured
    std::map<base::EndpointId, base::Time> m_lastInventoryAt; ///< time of each endpoint's last inventory
    base::Time m_nextDemand;
    base::Time m_nextProbe;
    base::Time m_nextVmList;
    std::set<std::string> m_listedVms; ///< VMs in the platform's last list
    base::Term m_loggedTerm;
    bool m_wasWithoutTable = false;
    bool m_isStopped = false;
};

} // namespace turmericplank::daemon
