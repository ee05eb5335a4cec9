#include "turmericplank/requests/chatbody.hpp"

#include <nlohmann/json.hpp>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::requests {

namespace {

using nlohmann::json;

constexpr auto Replace = json::error_handler_t::replace;
constexpr std::uint64_t MaxTokens = 1'000'000;

/// Whether a message has a content, a string or a list of parts.
bool hasContent(const json &message)
{
    return message.is_object() && message.contains("content");
}

} // namespace

std::string_view requirementFor(ChatBodyFailure failure)
{
    switch (failure) {
    case ChatBodyFailure::NotJson:
        return "the body must be a JSON object";
    case ChatBodyFailure::NoModel:
        return "model must be the name of a model or an adapter";
    case ChatBodyFailure::NoMessages:
        return "messages must be a list with at least one message";
    case ChatBodyFailure::BadMessage:
        return "each message must be an object with a content";
    case ChatBodyFailure::BadField:
        return "stream must be true or false, max_tokens a number from 1 to 1000000";
    }
    return {};
}

tl::expected<ChatBody, ChatBodyFailure> readChatBody(std::string_view text)
{
    auto document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return tl::make_unexpected(ChatBodyFailure::NotJson);
    }
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string() || model->get_ref<const std::string &>().empty()) {
        return tl::make_unexpected(ChatBodyFailure::NoModel);
    }
    ChatBody body;
    body.model = base::ModelName(model->get<std::string>());
    const auto messages = document.find("messages");
    if (messages == document.end() || !messages->is_array() || messages->empty()) {
        return tl::make_unexpected(ChatBodyFailure::NoMessages);
    }
    for (const auto &it : *messages) {
        if (!hasContent(it)) {
            return tl::make_unexpected(ChatBodyFailure::BadMessage);
        }
    }
    body.prompt = messages->dump(-1, ' ', false, Replace);
    if (const auto stream = document.find("stream"); stream != document.end()) {
        if (!stream->is_boolean()) {
            return tl::make_unexpected(ChatBodyFailure::BadField);
        }
        body.isStreamed = stream->get<bool>();
    }
    if (const auto tokens = document.find("max_tokens"); tokens != document.end()) {
        if (!tokens->is_number_unsigned() || tokens->get<std::uint64_t>() == 0 || tokens->get<std::uint64_t>() > MaxTokens) {
            return tl::make_unexpected(ChatBodyFailure::BadField);
        }
        body.maxTokens = tokens->get<std::uint32_t>();
    }
    document.erase("stream");
    document.erase("turmericplank_offset");
    body.canonical = document.dump(-1, ' ', false, Replace);
    body.fingerprint = Fingerprint(base::fingerprint(body.canonical));
    return body;
}

std::string endpointBody(const ChatBody &body, std::uint64_t offset)
{
    // The canonical form is a JSON object that is never empty, so the fields can be inserted at its start.
    return "{\"stream\":true,\"turmericplank_offset\":" + std::to_string(offset) + ',' + body.canonical.substr(1);
}

} // namespace turmericplank::requests
