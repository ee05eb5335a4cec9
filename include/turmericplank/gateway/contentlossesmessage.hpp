#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/gateway/peerstatus.hpp"
#include "turmericplank/requests/crashhistory.hpp"

namespace turmericplank::gateway {

/// @brief Encodes what is known of contents as msgpack, for other daemons and for rows of the store.
std::string encode(const std::vector<requests::ContentLosses> &contents);

/// @brief Decodes the output of encode().
tl::expected<std::vector<requests::ContentLosses>, MessageDecodeFailure> decodeContentLosses(std::string_view bytes);

} // namespace turmericplank::gateway
