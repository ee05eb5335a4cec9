#pragma once

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

#include "turmericplank/base/identifier.hpp"

namespace turmericplank::routing {

/// @brief One prefix of a prompt.
struct Prefix
{
    std::uint64_t fingerprint = 0; ///< of the model's name and the messages up to here
    std::uint32_t tokens = 0; ///< length of the prompt up to here

    friend auto operator<=>(const Prefix &, const Prefix &) = default;
    friend bool operator==(const Prefix &, const Prefix &) = default;
};

/// @brief All prefixes of a prompt, shortest first; each message ends one.
using PrefixChain = std::vector<Prefix>;

/// @brief Fingerprints of a prompt's prefixes, the same on every daemon and engine.
/// @param model model or adapter that the caller named
/// @param messages contents of the messages in order
/// @param charactersPerToken for the estimate of lengths
PrefixChain prefixChain(const base::ModelName &model, const std::vector<std::string_view> &messages, std::uint32_t charactersPerToken = 4);

} // namespace turmericplank::routing
