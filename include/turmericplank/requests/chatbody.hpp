#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/requests/suspects.hpp"

namespace turmericplank::requests {

/// @brief Why a body is not a supported chat completion request.
enum class ChatBodyFailure { NotJson, NoModel, NoMessages, BadMessage, BadField };

/// @brief Describes what a valid body contains, for the error message.
std::string_view requirementFor(ChatBodyFailure failure);

/// @brief A chat completion request.
struct ChatBody
{
    base::ModelName model; ///< name of a model or an adapter
    std::string prompt; ///< compact JSON of the messages; engines identify cached prefixes by it
    std::uint32_t maxTokens = 0; ///< zero if not given
    bool isStreamed = false;
    std::string canonical; ///< the body without the fields that differ between attempts
    Fingerprint fingerprint; ///< hash of the canonical body

    friend bool operator==(const ChatBody &, const ChatBody &) = default;
};

/// @brief Parses a body in the OpenAI format.
/// @param text the body
tl::expected<ChatBody, ChatBodyFailure> readChatBody(std::string_view text);

/// @brief Body to send to an endpoint, with streaming from an offset.
/// @param body the caller's request
/// @param offset number of tokens that were delivered already
std::string endpointBody(const ChatBody &body, std::uint64_t offset);

} // namespace turmericplank::requests
