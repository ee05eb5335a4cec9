#pragma once

#include <random>
#include <unordered_map>

#include "turmericplank/requests/endpointchoice.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::daemon {

/// @brief Chooses the endpoints of model calls with the router and logs each choice.
class EngineSelector
{
public:
    /// @param router makes the choices; must outlive the selector
    /// @param random breaks ties; must outlive the selector
    EngineSelector(routing::Router &router, std::mt19937_64 &random);

    /// @brief Chooses an endpoint.
    /// @return nothing if no endpoint is available
    std::optional<requests::EndpointChoice> choose(const requests::ChoiceQuery &query, base::Time now);
    /// @brief Callbacks that report the results of attempts to the router.
    requests::AttemptFeedback feedback();

private:
    struct UnsentChoice
    {
        routing::Choice choice;
        routing::RouteRequest request;
    };

    routing::Router &m_router;
    std::mt19937_64 &m_random;
    std::unordered_map<routing::Ticket, UnsentChoice> m_unsentChoices;
};

} // namespace turmericplank::daemon
