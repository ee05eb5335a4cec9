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

/// @brief What membership asks of the rest of the daemon.
struct MembershipShellHooks
{
    std::function<std::uint32_t()> load; ///< streams of callers in progress
    std::function<base::Revision()> revision; ///< newest accepted revision that this daemon knows
    std::function<void(const base::DaemonId &, base::Revision)> onRevision; ///< another daemon knows this one
    std::function<bool(const base::ModelName &)> isRouted; ///< whether a model is configured
    std::function<void()> onDrainAsked; ///< an operator asked this daemon to drain
};

/// @brief Beats, listens and polls for membership, directs callers, and tells routing whom to trust.
class MembershipShell
{
public:
    /// @param environment shared parts, which outlive this
    /// @param routing is told of endpoints and other daemons' work, and outlives this
    /// @param hooks the rest of the daemon
    MembershipShell(Environment &environment, RoutingShell &routing, MembershipShellHooks hooks);

    /// @brief Takes the document in force.
    void apply(const configuration::Document &document);

    /// @brief This daemon leaves: it is named to callers no more from now on.
    /// @param onRefusable called once no caller can hold an answer that names it
    void leave(std::function<void()> onRefusable);

    /// @brief All daemons as they are believed to be.
    std::vector<membership::Member> members() const;

    /// @brief The other daemons that are live and reachable from here.
    std::vector<membership::Member> others() const;

    /// @brief This daemon's part of a caller's limit.
    /// @param caller who sends a request now
    /// @param whole the limit over all daemons
    requests::CallerLimit shareOf(const base::CallerName &caller, const requests::CallerLimit &whole);

    /// @brief Whether an endpoint or an instance of a service may get new work.
    bool mayUse(const base::EndpointId &endpoint) const;

    /// @brief Caller addresses of others that a refused caller may go to.
    std::vector<base::Address> otherAddresses();

private:
    struct Call;

    void tick();
    void beat();
    void sendTo(const membership::Member &member, membership::Heartbeat heartbeat);
    void take(const base::DaemonId &from, const std::string &body);
    void takeWork(const membership::Heartbeat &heartbeat);
    void takeReports(const membership::Heartbeat &heartbeat);
    void readRecords();
    void writeRecord();
    void readList();
    void updateMarks();
    void answerEntry(const net::ExchangePointer &exchange);
    void answerMembers(const net::ExchangePointer &exchange);
    routing::PollDuty duty(const base::EndpointId &endpoint) const;

    Environment &m_environment;
    RoutingShell &m_routing;
    MembershipShellHooks m_hooks;
    base::Incarnation m_incarnation;
    membership::DaemonView m_view;
    membership::EndpointView m_endpoints;
    membership::EntryDirectory m_directory;
    std::optional<membership::Drain> m_drain;
    std::function<void()> m_onRefusable;
    routing::WorkSelector m_work;
    CallerLimits m_callerLimits;
    std::map<base::DaemonId, base::Incarnation> m_incarnations; ///< of whom the router knows work
    std::map<base::DaemonId, std::uint64_t> m_taken; ///< highest sequence taken in
    std::map<base::DaemonId, membership::LiveState> m_logged;
    std::map<base::EndpointId, membership::LiveState> m_marks;
    std::map<membership::ShortName, base::EndpointId> m_endpointNames;
    std::map<base::EndpointId, std::size_t> m_pollOrder; ///< of the engines, by their names
    std::vector<base::DaemonId> m_live; ///< daemons that share the polls, by their names
    base::Time m_nextBeatAt;
    base::Time m_nextListAt;
    base::Time m_nextRecordsAt;
    base::Time m_startedAt;
};

} // namespace turmericplank::daemon
