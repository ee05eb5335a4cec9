#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/requests/suspects.hpp"

namespace turmericplank::requests {

/// @brief Why a body is not a chat completion that can be carried.
enum class ChatBodyFailure { NotJson, NoModel, NoMessages, BadMessage, BadField };

/// @brief What the body must hold, for the error's message.
std::string_view requirementFor(ChatBodyFailure failure);

/// @brief A chat completion as a caller asked for it.
struct ChatBody
{
    base::ModelName model; ///< model or adapter
    std::string prompt; ///< compact JSON of the messages, by which engines name the prefixes in their caches
    std::uint32_t maximumTokens = 0; ///< zero if the caller gave none
    bool isStreamed = false;
    std::string canonical; ///< the body without what changes from attempt to attempt
    Fingerprint fingerprint; ///< of the canonical body

    friend bool operator==(const ChatBody &, const ChatBody &) = default;
};

/// @brief Reads a body of the OpenAI shape.
/// @param text the body
tl::expected<ChatBody, ChatBodyFailure> readChatBody(std::string_view text);

/// @brief The body for an endpoint: streamed, from an offset.
/// @param body what the caller asked for
/// @param offset tokens that were delivered already
std::string endpointBody(const ChatBody &body, std::uint64_t offset);

} // namespace turmericplank::requests
