#include "turmericplank/requests/eventstream.hpp"

#include <optional>

#include <nlohmann/json.hpp>

namespace turmericplank::requests {

namespace {

using nlohmann::json;

constexpr std::string_view DataField = "data:";
constexpr std::string_view EndMarker = "[DONE]";
constexpr const char *OffsetField = "turmericplank_offset";
constexpr auto Replace = json::error_handler_t::replace;

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
        text.remove_suffix(1);
    }
    return text;
}

/// Parser callback that keeps only the offset of a chunk; the rest is checked for syntax and passed on unchanged.
bool keepsOnlyOffset(int depth, json::parse_event_t event, const json &parsed)
{
    return event != json::parse_event_t::key || depth != 1 || parsed == OffsetField;
}

std::optional<StreamedToken> readToken(std::string_view data)
{
    if (data == EndMarker) {
        return StreamedToken{0, {}, true};
    }
    const auto document = json::parse(data, keepsOnlyOffset, false);
    const auto offset = document.is_object() ? document.find(OffsetField) : document.end();
    if (!document.is_object() || offset == document.end() || !offset->is_number_unsigned()) {
        return std::nullopt;
    }
    return StreamedToken{offset->get<std::uint64_t>(), std::string(data), false};
}

} // namespace

tl::expected<std::vector<StreamedToken>, StreamFailure> EventStream::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<StreamedToken> tokens;
    std::size_t from = 0;
    for (auto end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', from)) {
        const auto line = std::string_view(m_buffer).substr(from, end - from);
        from = end + 1;
        if (!line.starts_with(DataField)) {
            continue;
        }
        auto token = readToken(trimmed(line.substr(DataField.size())));
        if (!token) {
            return tl::make_unexpected(StreamFailure::InvalidChunk);
        }
        tokens.push_back(std::move(*token));
    }
    m_buffer.erase(0, from);
    if (m_buffer.size() > MaxLineBytes) {
        return tl::make_unexpected(StreamFailure::EventTooLong);
    }
    return tokens;
}

std::string chunkText(std::string_view chunk)
{
    const auto document = json::parse(chunk, nullptr, false);
    const auto pointer = json::json_pointer("/choices/0/delta/content");
    if (!document.is_object() || !document.contains(pointer) || !document.at(pointer).is_string()) {
        return {};
    }
    return document.at(pointer).get<std::string>();
}

std::string chunkWithId(std::string_view chunk, std::string_view id)
{
    // Engines return the id that they were sent: the request id and the attempt's number. The pattern cannot occur inside a
    // JSON string, where quotes are escaped.
    const auto prefix = "\"id\":\"" + std::string(id) + '-';
    const auto at = chunk.find(prefix);
    const auto digits = at == std::string_view::npos ? at : at + prefix.size();
    const auto end = digits == std::string_view::npos ? digits : chunk.find_first_not_of("0123456789", digits);
    if (end != std::string_view::npos && end > digits && chunk[end] == '"') {
        return std::string(chunk.substr(0, digits - 1)).append(chunk.substr(end));
    }
    auto document = json::parse(chunk, nullptr, false);
    if (!document.is_object()) {
        return std::string(chunk);
    }
    document["id"] = id;
    return document.dump(-1, ' ', false, Replace);
}

std::string chatCompletionBody(std::string_view id, std::string_view model, std::string_view text, std::uint64_t tokens)
{
    const json choice = {{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}, {"finish_reason", "stop"}};
    const json answer = {
        {"id", id}, {"object", "chat.completion"}, {"model", model}, {"choices", json::array({choice})}, {"usage", {{"completion_tokens", tokens}}}};
    return answer.dump(-1, ' ', false, Replace);
}

} // namespace turmericplank::requests
