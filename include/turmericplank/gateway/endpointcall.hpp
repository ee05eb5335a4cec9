#pragma once

#include <functional>

#include "turmericplank/gateway/endpointpool.hpp"
#include "turmericplank/gateway/interface.hpp"

namespace turmericplank::gateway {

/// @brief Sends a request of the daemon itself to an endpoint, over a kept connection.
/// @param pool lends the connection
/// @param wire tells late answers to callers' calls from its own
/// @param id the endpoint
/// @param request what to send
/// @param deadline when a silent endpoint is given up
/// @param onDone gets the whole answer, or nothing; called exactly once
void callEndpoint(EndpointPool &pool, const WireFormat &wire, const base::EndpointId &id, net::HttpRequest request, base::Time deadline,
                  std::function<void(std::optional<net::HttpResponse>)> onDone);

} // namespace turmericplank::gateway
