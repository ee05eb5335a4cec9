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
    std::uint64_t fingerprint = 0; ///< of the model's name and the prompt up to here
    std::uint32_t tokens = 0; ///< length of the prompt up to here

    friend auto operator<=>(const Prefix &, const Prefix &) = default;
    friend bool operator==(const Prefix &, const Prefix &) = default;
};

/// @brief Prefixes of a prompt, shortest first; every 256 bytes end one.
using PrefixChain = std::vector<Prefix>;

/// @brief Fingerprints of a prompt's prefixes, by the rule that engines name them by in their cache events.
/// @param model model or adapter that the caller named
/// @param prompt compact JSON of the messages
PrefixChain prefixChain(const base::ModelName &model, std::string_view prompt);

/// @brief Estimate of a prompt's length in tokens.
std::uint32_t estimatedTokens(std::string_view prompt);

/// @brief Reads the name of a prefix in a cache event: 16 hexadecimal digits.
/// @return nothing for any other text
std::optional<std::uint64_t> parsePrefixName(std::string_view text);

/// @brief Writes the name of a prefix as engines know it.
std::string prefixName(std::uint64_t fingerprint);

} // namespace turmericplank::routing
