#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "turmericplank/daemon/callerlimits.hpp"
#include "turmericplank/daemon/environment.hpp"
#include "turmericplank/daemon/routingshell.hpp"
#include "turmericplank/membership/daemonview.hpp"
#include "turmericplank/membership/drain.hpp"
#include "turmericplank/membership/endpointview.hpp"
#include "turmericplank/membership/entrydirectory.hpp"
#include "turmericplank/routing/workselector.hpp"

namespace turmericplank::daemon {

/// @brief What the membership shell needs from the rest of the daemon; hooks may be empty.
struct MembershipShellHooks
{
    std::function<std::uint32_t()> load; ///< number of callers' requests in progress
    std::function<base::Revision()> revision; ///< newest accepted revision known to this daemon
    std::function<void(const base::DaemonId &, base::Revision)> onRevision; ///< called with the newest revision that another daemon knows
    std::function<bool(const base::ModelName &)> isModelConfigured; ///< whether a model or adapter is configured; if empty, all are
    std::function<void()> onDrainRequested; ///< called when an operator requests a drain of this daemon
};

/// @brief Tracks the daemons and endpoints of the cell, directs callers to daemons and reports endpoint states to routing.
///
/// It registers this daemon, exchanges heartbeats, and reads the daemon records and the VM list.
class MembershipShell
{
public:
    /// @param environment shared parts; must outlive the shell
    /// @param routing receives endpoint states, load reports and the work of other daemons; must outlive the shell
    /// @param hooks callbacks to the rest of the daemon
    MembershipShell(Environment &environment, RoutingShell &routing, MembershipShellHooks hooks);

    /// @brief Applies the document in force.
    void apply(const configuration::Document &document);

    /// @brief Starts leaving the cell: callers are no longer directed to this daemon.
    /// @param onUnreferenced called once no caller can hold an unexpired response that names this daemon
    void leave(std::function<void()> onUnreferenced);

    /// @brief All daemons of the cell with their states as seen from here.
    std::vector<membership::Member> members() const;

    /// @brief The other daemons that are reachable from here and neither suspect nor gone.
    std::vector<membership::Member> others() const;

    /// @brief Records a request of a caller and returns this daemon's share of the caller's limit.
    /// @param caller the caller that sent the request
    /// @param totalLimit the limit over all daemons
    requests::CallerLimit localLimit(const base::CallerName &caller, const requests::CallerLimit &totalLimit);

    /// @brief Whether an endpoint or a service instance may receive new work.
    bool isUsable(const base::EndpointId &endpoint) const;

    /// @brief Addresses of other daemons for a caller that was rejected here.
    std::vector<base::Address> otherCallerAddresses();

private:
    struct Call;

    void tick();
    void sendHeartbeats();
    void sendHeartbeat(const membership::Member &member, membership::Heartbeat heartbeat);
    void receiveHeartbeat(const base::DaemonId &from, const std::string &body);
    void applyWork(const membership::Heartbeat &heartbeat);
    void applyReports(const membership::Heartbeat &heartbeat);
    void readRecords();
    void writeRecord();
    void readVirtualMachines();
    void updateStates();
    void answerEntry(const net::ExchangePointer &exchange);
    void answerMembers(const net::ExchangePointer &exchange);
    routing::PollDuty pollDuty(const base::EndpointId &endpoint) const;

    Environment &m_environment;
    RoutingShell &m_routing;
    MembershipShellHooks m_hooks;
    base::Incarnation m_incarnation;
    membership::DaemonView m_view;
    membership::EndpointView m_endpoints;
    membership::EntryDirectory m_directory;
    std::optional<membership::Drain> m_drain;
    std::function<void()> m_onUnreferenced;
    routing::WorkSelector m_workSelector;
    CallerLimits m_callerLimits;
    std::map<base::DaemonId, base::Incarnation> m_incarnations; ///< incarnations of the daemons whose work the router knows
    std::map<base::DaemonId, std::uint64_t> m_lastSequences; ///< highest heartbeat sequence received from each daemon
    std::map<base::DaemonId, membership::LiveState> m_loggedStates;
    std::map<base::EndpointId, membership::LiveState> m_endpointStates;
    std::map<membership::ShortName, base::EndpointId> m_endpointNames;
    std::map<base::EndpointId, std::size_t> m_pollOrder; ///< index of each engine, sorted by name
    std::vector<base::DaemonId> m_liveDaemons; ///< live daemons, which share the polling, sorted by name
    base::Time m_nextHeartbeatAt;
    base::Time m_nextVmListAt;
    base::Time m_nextRecordsAt;
    base::Time m_startedAt;
};

} // namespace turmericplank::daemon
