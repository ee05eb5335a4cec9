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
#include "turmericplank/requests/endpointchoice.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::daemon {

/// @brief What routing tells membership of endpoints.
struct RoutingShellHooks
{
    /// An endpoint answered a poll.
    std::function<void(const base::EndpointId &, base::Incarnation, bool isLeaving)> onAnswer;
    /// A poll found no answer.
    std::function<void(const base::EndpointId &)> onFailure;
    /// Whether this daemon polls an endpoint closely; the others look now and then.
    std::function<bool(const base::EndpointId &)> isResponsible;
};

/// @brief Feeds the router from the endpoints' load reports and cache events, and offers it to the requests.
class RoutingShell
{
public:
    /// @param environment shared parts, which outlive this
    explicit RoutingShell(Environment &environment);

    /// @brief Sets what membership wants to know.
    void setHooks(RoutingShellHooks hooks);

    /// @brief Takes the document in force.
    void apply(const configuration::Document &document);

    /// @brief Chooses the endpoint of an attempt and logs the choice.
    requests::ChooseEndpoint chooseEndpoint();

    /// @brief What to tell of attempts.
    requests::AttemptFeedback feedback();

    /// @brief The router of model calls.
    routing::Router &router();

    /// @brief Endpoints and instances of the document in force.
    std::vector<base::EndpointId> endpoints() const;

    /// @brief Takes membership's word on an endpoint.
    void setMark(const base::EndpointId &endpoint, routing::EndpointMark mark);

private:
    struct Polled
    {
        base::Address address;
        base::Time nextPollAt;
        std::uint64_t nextEvent = 0;
        bool isPolling = false;
    };

    struct Chosen
    {
        routing::Choice choice;
        routing::RouteRequest request;
        base::Time forgetAt;
    };

    std::optional<requests::Choice> choose(const requests::ChoiceQuery &query, base::Time now);
    routing::Router &routerOf(std::uint64_t ticket);
    void end(const requests::Choice &choice, routing::AttemptEnd end, base::Time now);
    void poll();
    void pollLoad(const base::EndpointId &endpoint, Polled &polled);
    void pollEvents(const base::EndpointId &endpoint, const Polled &polled);
    void takeReport(const base::EndpointId &endpoint, const std::string &body);
    void takeEvents(const base::EndpointId &endpoint, const std::string &body);

    Environment &m_environment;
    RoutingShellHooks m_hooks;
    routing::Router m_router;
    routing::Router m_services; ///< instances of plain services
    std::set<base::ModelName> m_serviceNames;
    std::map<base::EndpointId, Polled> m_polled;
    std::map<std::uint64_t, Chosen> m_chosen; ///< by the ticket that the requests know, until sent or outlived
};

} // namespace turmericplank::daemon
