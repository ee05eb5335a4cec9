#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/discovery/endpointentry.hpp"
#include "turmericplank/gateway/peerstatus.hpp"

namespace turmericplank::gateway {

/// @brief Encodes all endpoint entries of one read as msgpack, for the daemons of the group.
std::string encode(const std::vector<discovery::EndpointEntry> &entries);

/// @brief Decodes the output of encode().
tl::expected<std::vector<discovery::EndpointEntry>, MessageDecodeFailure> decodeEndpointEntries(std::string_view bytes);

} // namespace turmericplank::gateway
