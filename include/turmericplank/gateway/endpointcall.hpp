#pragma once

#include <functional>

#include "turmericplank/gateway/connectionpool.hpp"
#include "turmericplank/gateway/interface.hpp"

namespace turmericplank::gateway {

/// @brief Sends a request of the daemon itself to an endpoint, over a pooled connection.
/// @param pool provides the connection
/// @param wire distinguishes the response from late responses to callers' calls
/// @param id the endpoint
/// @param request the request to send
/// @param deadline when to give up waiting for a response
/// @param onDone gets the complete response, or nothing on failure; called exactly once
void callEndpoint(ConnectionPool &pool, const WireFormat &wire, const base::EndpointId &id, net::HttpRequest request, base::Time deadline,
                  std::function<void(std::optional<net::HttpResponse>)> onDone);

} // namespace turmericplank::gateway
