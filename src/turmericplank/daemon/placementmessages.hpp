#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/net/httptypes.hpp"
#include "turmericplank/placement/demand.hpp"
#include "turmericplank/placement/order.hpp"

namespace turmericplank::daemon {

/// @brief Body of POST /orders.
std::string orderBody(const placement::Order &order);

/// @brief What an engine's answer to an order means; an unknown one may have had an effect.
placement::OrderAnswer readOrderAnswer(const net::HttpResponse &response);

/// @brief Reads the answer to GET /inventory.
/// @param document tells the memory of models and the base models of adapters
/// @param text the answer's body
/// @return nothing if it is malformed
std::optional<placement::Inventory> readInventory(const configuration::Document &document, const std::string &text);

/// @brief Writes counters as msgpack, the message's version first.
std::string encodeDemand(const placement::DemandCounters &counters);

/// @brief Reads counters; fields that a later version adds are ignored.
/// @return nothing if they are malformed
std::optional<placement::DemandCounters> decodeDemand(std::string_view bytes);

} // namespace turmericplank::daemon
