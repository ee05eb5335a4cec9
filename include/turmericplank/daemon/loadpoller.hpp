#pragma once

#include <map>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/daemon/environment.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::daemon {

/// @brief Hands a document's endpoints and models to a router.
void applyTo(routing::Router &router, const configuration::Document &document);

/// @brief Asks each endpoint for its load report and hands it to the router.
class LoadPoller
{
public:
    /// @param environment shared parts, which outlive this
    /// @param router takes the reports
    LoadPoller(Environment &environment, routing::Router &router);

    /// @brief Takes the configured endpoints.
    void setEndpoints(const configuration::Document &document);

private:
    void poll();

    Environment &m_environment;
    routing::Router &m_router;
    std::map<base::EndpointId, base::Address> m_endpoints;
};

} // namespace turmericplank::daemon
