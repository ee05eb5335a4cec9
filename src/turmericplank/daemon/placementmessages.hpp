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

/// @brief Interprets an engine's answer to an order; an unrecognized answer is Lost, since the order may have had an effect.
placement::OrderAnswer readOrderAnswer(const net::HttpResponse &response);

/// @brief Parses the answer to GET /inventory.
/// @param document configuration, used to find the base models of adapters
/// @param text body of the answer
/// @return nothing if the body is malformed
std::optional<placement::Inventory> readInventory(const configuration::Document &document, const std::string &text);

/// @brief Encodes counters as msgpack; the first field is the message version.
std::string encodeDemand(const placement::DemandCounters &counters);

/// @brief Decodes counters; fields added by later versions are ignored.
/// @return nothing if the message is malformed
std::optional<placement::DemandCounters> decodeDemand(std::string_view bytes);

} // namespace turmericplank::daemon
