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
/// @param maySend asked once the connection is open, since the process may have been paused meanwhile; if it returns false, nothing is sent
void callEndpoint(
    ConnectionPool &pool, const WireFormat &wire, const base::EndpointId &id, net::HttpRequest request, base::Time deadline,
    std::function<void(std::optional<net::HttpResponse>)> onDone, std::function<bool()> maySend = [] { return true; });

} // namespace turmericplank::gateway
