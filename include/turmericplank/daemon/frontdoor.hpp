#pragma once

#include <functional>
#include <memory>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/daemon/environment.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::daemon {

/// @brief Answers callers: model calls and calls of services.
class FrontDoor
{
public:
    using DocumentSource = std::function<std::shared_ptr<const configuration::Document>()>;

    /// @param environment shared parts, which outlive this
    /// @param router chooses endpoints
    /// @param document the configuration in force, or nothing
    FrontDoor(Environment &environment, routing::Router &router, DocumentSource document);

private:
    void relayModelCall(const net::ExchangePointer &exchange);
    void relayServiceCall(const net::ExchangePointer &exchange);
    void relay(const net::ExchangePointer &exchange, const base::Address &to, net::HttpRequest request, std::function<void(bool isWhole)> onEnd);

    Environment &m_environment;
    routing::Router &m_router;
    DocumentSource m_document;
};

} // namespace turmericplank::daemon
