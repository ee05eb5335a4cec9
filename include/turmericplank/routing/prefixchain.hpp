#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/base/identifier.hpp"

namespace turmericplank::routing {

/// @brief One prefix of a prompt.
struct Prefix
{
    std::uint64_t fingerprint = 0; ///< hash of the model name and the prefix
    std::uint32_t tokens = 0; ///< estimated length of the prefix

    friend auto operator<=>(const Prefix &, const Prefix &) = default;
    friend bool operator==(const Prefix &, const Prefix &) = default;
};

/// @brief Prefixes of a prompt, shortest first, one for every 256 bytes.
using PrefixChain = std::vector<Prefix>;

/// @brief Computes the fingerprints of a prompt's prefixes in the same way as the engines do for their cache events.
/// @param model model or adapter named by the caller
/// @param prompt compact JSON of the messages
PrefixChain prefixChain(const base::ModelName &model, std::string_view prompt);

/// @brief Estimated length of a prompt in tokens.
std::uint32_t estimatedTokens(std::string_view prompt);

/// @brief Parses the name of a prefix in a cache event: 16 hexadecimal digits.
/// @return nothing if the text has another form
std::optional<std::uint64_t> parsePrefixName(std::string_view text);

/// @brief Formats the name of a prefix as used in cache events.
std::string prefixName(std::uint64_t fingerprint);

} // namespace turmericplank::routing
