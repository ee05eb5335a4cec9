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

/// @brief What routing tells membership of endpoints.
struct RoutingShellHooks
{
    /// An endpoint answered a poll.
    std::function<void(const base::EndpointId &, base::Incarnation, bool isLeaving)> onAnswer;
    /// A poll found no answer.
    std::function<void(const base::EndpointId &)> onFailure;
    /// This daemon's part in watching an endpoint.
    std::function<routing::PollDuty(const base::EndpointId &)> duty;
};

/// @brief Feeds the router from the endpoints' load reports and cache events.
class RoutingShell
{
public:
    /// @param environment shared parts, which outlive this
    explicit RoutingShell(Environment &environment);

    /// @brief Sets what membership wants to know.
    void setHooks(RoutingShellHooks hooks);

    /// @brief Takes the document in force.
    void apply(const configuration::Document &document);

    /// @brief The router of model calls.
    routing::Router &router();

    /// @brief Fresh reports of own polls, for the other daemons.
    std::vector<routing::ReportDigest> ownReports() const;

    /// @brief Takes a report that another daemon polled.
    void takeReport(const routing::ReportDigest &digest);

    /// @brief Looks at an endpoint that another daemon suspects.
    void lookAt(const base::EndpointId &endpoint);

    /// @brief Takes membership's word on an endpoint.
    void setMark(const base::EndpointId &endpoint, routing::EndpointStatus mark);

private:
    struct Polled
    {
        base::Address address;
        std::uint64_t nextEvent = 0;
    };

    void poll();
    void pollLoad(const base::EndpointId &endpoint, const Polled &polled);
    void pollEvents(const base::EndpointId &endpoint, const Polled &polled);
    void takeReport(const base::EndpointId &endpoint, const routing::LoadReport &report);
    void takeEvents(const base::EndpointId &endpoint, const std::string &body);

    Environment &m_environment;
    RoutingShellHooks m_hooks;
    routing::Router m_router;
    routing::PollScheduler m_plan;
    std::map<base::EndpointId, Polled> m_polled;
};

} // namespace turmericplank::daemon
