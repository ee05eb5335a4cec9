#pragma once

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

#include "common/answertext.hpp"
#include "turmericplank/base/priority.hpp"
#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::standins::engine {

/// @brief A parsed chat completion request.
struct ChatRequest
{
    std::string id; ///< X-Request-Id; empty if the header is missing
    std::string model; ///< name of a model or an adapter
    base::Priority priority = base::Priority::Normal;
    AnswerText text;
    std::string prompt; ///< compact JSON of the messages
    std::uint32_t offset = 0; ///< index of the first token to generate; the caller already has the earlier ones
    std::uint32_t end = 0; ///< index after the last token to generate
    bool isStreamed = false;
};

/// @brief Why a request body is not a valid chat completion request.
enum class ChatRequestError { NotJson, MissingField, BadField };

/// @brief Parses a chat completion request in the OpenAI format.
tl::expected<ChatRequest, ChatRequestError> readChatRequest(const net::HttpRequest &request);

/// @brief Creates the part that all server-sent events of a stream start with, up to the token index.
/// @param id request id
/// @param model model name as written in the request
std::string eventPrefix(const std::string &id, const std::string &model);

/// @brief Creates the server-sent event of one token.
/// @param prefix result of eventPrefix()
/// @param text text of the token; must not need escaping in JSON
std::string tokenEvent(const std::string &prefix, std::uint32_t index, const std::string &text);

/// @brief Creates the body of an answer that is not streamed.
/// @param id request id
/// @param model model name as written in the request
/// @param text concatenated text of all tokens
/// @param tokens number of tokens
std::string chatCompletionBody(const std::string &id, const std::string &model, const std::string &text, std::uint32_t tokens);

} // namespace turmericplank::standins::engine
