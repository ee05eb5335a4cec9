#pragma once

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

#include "common/answertext.hpp"
#include "turmericplank/base/priority.hpp"
#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::standins::engine {

/// @brief A chat completion as an engine reads it.
struct ChatRequest
{
    std::string id; ///< empty if the caller gave none
    std::string model; ///< a model or an adapter
    base::Priority priority = base::Priority::Normal;
    AnswerText text;
    std::string prompt; ///< compact JSON of the messages
    std::uint32_t offset = 0; ///< tokens that were delivered already
    std::uint32_t end = 0; ///< index after the last token
    bool isStreamed = false;
};

/// @brief Why a body is not a chat completion.
enum class ChatRequestError { NotJson, MissingField, BadField };

/// @brief Reads a chat completion of the OpenAI shape.
/// @param request the HTTP request
tl::expected<ChatRequest, ChatRequestError> readChatRequest(const net::HttpRequest &request);

/// @brief What the server-sent events of one stream have in common.
/// @param id the request
/// @param model name as the caller wrote it
/// @return the start of each event, up to the index of its token
std::string eventPrefix(const std::string &id, const std::string &model);

/// @brief One server-sent event that carries a token.
/// @param head result of eventPrefix()
/// @param index index of the token
/// @param text the token, free of characters that JSON escapes
std::string tokenEvent(const std::string &prefix, std::uint32_t index, const std::string &text);

/// @brief Body of an answer that is not streamed.
/// @param id the request
/// @param model name as the caller wrote it
/// @param text all tokens
/// @param tokens how many they are
std::string chatCompletionBody(const std::string &id, const std::string &model, const std::string &text, std::uint32_t tokens);

} // namespace turmericplank::standins::engine
