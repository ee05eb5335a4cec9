#include "engine/chatrequest.hpp"

#include <nlohmann/json.hpp>

namespace turmericplank::standins::engine {

namespace {

using nlohmann::json;

constexpr std::uint32_t DefaultTokens = 16;
constexpr std::uint32_t MaxTokens = 100000;

} // namespace

tl::expected<ChatRequest, ChatRequestError> readChatRequest(const net::HttpRequest &request)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return tl::unexpected(ChatRequestError::NotJson);
    }
    if (!body.contains("model") || !body.contains("messages")) {
        return tl::unexpected(ChatRequestError::MissingField);
    }
    try {
        const auto model = body.at("model").get<std::string>();
        const auto &messages = body.at("messages");
        const auto tokens = std::min(body.value("max_tokens", DefaultTokens), MaxTokens);
        const auto offset = body.value("turmericplank_offset", std::uint32_t(0));
        const auto priority = base::parsePriority(net::header(request.headers, "X-Priority"));
        return ChatRequest{std::string(net::header(request.headers, "X-Request-Id")),
                           model,
                           priority.value_or(base::Priority::Normal),
                           AnswerText(model, messages),
                           messages.dump(),
                           std::min(offset, tokens),
                           tokens,
                           body.value("stream", false)};
    } catch (const json::exception &) {
        return tl::unexpected(ChatRequestError::BadField);
    }
}

std::string eventPrefix(const std::string &id, const std::string &model)
{
    return R"(data: {"id":)" + json(id).dump() + R"(,"object":"chat.completion.chunk","model":)" + json(model).dump() + R"(,"turmericplank_offset":)";
}

std::string tokenEvent(const std::string &prefix, std::uint32_t index, const std::string &text)
{
    return prefix + std::to_string(index) + R"(,"choices":[{"index":0,"delta":{"content":")" + text + R"("},"finish_reason":null}]})" + "\n\n";
}

std::string chatCompletionBody(const std::string &id, const std::string &model, const std::string &text, std::uint32_t tokens)
{
    const json choice = {{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}, {"finish_reason", "stop"}};
    return json({{"id", id}, {"object", "chat.completion"}, {"model", model}, {"choices", json::array({choice})}, {"usage", {{"completion_tokens", tokens}}}})
        .dump();
}

} // namespace turmericplank::standins::engine
