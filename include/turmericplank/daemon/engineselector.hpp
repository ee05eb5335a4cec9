#pragma once

#include <random>
#include <unordered_map>

#include "turmericplank/requests/endpointchoice.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::daemon {

/// @brief Lets the router choose the endpoints of model calls, and logs each choice.
class EngineChoice
{
public:
    /// @param router chooses; outlives this
    /// @param random breaks ties; outlives this
    EngineChoice(routing::Router &router, std::mt19937_64 &random);

    /// @brief Chooses an endpoint.
    std::optional<requests::EndpointChoice> choose(const requests::ChoiceQuery &query, base::Time now);
    /// @brief Hooks that tell the router what became of its choices.
    requests::AttemptFeedback feedback();

private:
    struct Chosen
    {
        routing::Choice choice;
        routing::RouteRequest request;
    };

    routing::Router &m_router;
    std::mt19937_64 &m_random;
    std::unordered_map<routing::Ticket, Chosen> m_unsent;
};

} // namespace turmericplank::daemon
