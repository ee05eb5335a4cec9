#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/accounts/usagegrant.hpp"
#include "turmericplank/gateway/peerstatus.hpp"

namespace turmericplank::gateway {

/// @brief Encodes the use of accounts on one daemon as msgpack.
std::string encode(const std::vector<accounts::AccountUse> &uses);

/// @brief Encodes what one daemon may admit as msgpack.
std::string encode(const std::vector<accounts::UsageGrant> &grants);

/// @brief Decodes the use of accounts on one daemon.
tl::expected<std::vector<accounts::AccountUse>, MessageDecodeFailure> decodeAccountUses(std::string_view bytes);

/// @brief Decodes what one daemon may admit.
tl::expected<std::vector<accounts::UsageGrant>, MessageDecodeFailure> decodeUsageGrants(std::string_view bytes);

} // namespace turmericplank::gateway
