#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/daemon/environment.hpp"
#include "turmericplank/routing/pollscheduler.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::daemon {

/// @brief Callbacks of the routing shell to membership.
struct RoutingShellHooks
{
    /// Called when an endpoint answers a poll.
    std::function<void(const base::EndpointId &, base::Incarnation, bool isLeaving)> onAnswer;
    /// Called when a poll fails.
    std::function<void(const base::EndpointId &)> onFailure;
    /// Returns this daemon's part in polling an endpoint.
    std::function<routing::PollDuty(const base::EndpointId &)> pollDuty;
};

/// @brief Polls the endpoints' load reports and cache events and passes them to the router.
class RoutingShell
{
public:
    /// @param environment shared parts; must outlive the shell
    explicit RoutingShell(Environment &environment);

    /// @brief Sets the callbacks to membership.
    void setHooks(RoutingShellHooks hooks);

    /// @brief Applies the document in force.
    void apply(const configuration::Document &document);

    /// @brief The router for model calls.
    routing::Router &router();

    /// @brief Recent load reports from this daemon's own polls, for the other daemons.
    std::vector<routing::ReportDigest> ownReports() const;

    /// @brief Applies a load report that another daemon polled.
    void applyReport(const routing::ReportDigest &digest);

    /// @brief Polls an endpoint soon, because another daemon suspects it.
    void pollSoon(const base::EndpointId &endpoint);

    /// @brief Sets the status of an endpoint as membership sees it.
    void setStatus(const base::EndpointId &endpoint, routing::EndpointStatus status);

private:
    struct PollTarget
    {
        base::Address address;
        std::uint64_t nextEvent = 0;
    };

    void poll();
    void pollLoad(const base::EndpointId &endpoint, const PollTarget &target);
    void pollEvents(const base::EndpointId &endpoint, const PollTarget &target);
    void applyReport(const base::EndpointId &endpoint, const routing::LoadReport &report);
    void applyEvents(const base::EndpointId &endpoint, const std::string &body);

    Environment &m_environment;
    RoutingShellHooks m_hooks;
    routing::Router m_router;
    routing::PollScheduler m_scheduler;
    std::map<base::EndpointId, PollTarget> m_pollTargets;
};

} // namespace turmericplank::daemon
