#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/discovery/endpointentry.hpp"
#include "turmericplank/gateway/peernotice.hpp"

namespace turmericplank::gateway {

/// @brief Writes a whole read of the endpoints' entries as msgpack, for the daemons of the group.
std::string encode(const std::vector<discovery::EndpointEntry> &entries);

/// @brief Reads what encode() wrote.
tl::expected<std::vector<discovery::EndpointEntry>, NoticeFailure> decodeEntries(std::string_view bytes);

} // namespace turmericplank::gateway
