#include "answercheck.hpp"

#include <nlohmann/json.hpp>

namespace turmericplank::cli {

namespace {

using nlohmann::json;

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "data: ";
constexpr std::string_view EndMark = "[DONE]";

AnswerError toError(const json &body)
{
    if (!body.is_object() || !body.contains("error") || !body.at("error").is_object()) {
        return {};
    }
    const auto &error = body.at("error");
    try {
        return {error.value("code", std::string("uncoded")), error.value("outcome", std::string()), error.value("addresses", std::vector<std::string>())};
    } catch (const json::type_error &) {
        return {"uncoded", {}, {}};
    }
}

/// Content of an event's data line; empty for keep-alive comments.
std::string_view eventData(std::string_view event)
{
    while (!event.empty() && !event.starts_with(DataField)) {
        const auto end = event.find('\n');
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return event.empty() ? event : event.substr(DataField.size());
}

std::string tokenText(const json &chunk)
{
    const auto pointer = "/choices/0/delta/content"_json_pointer;
    const auto text = chunk.contains(pointer) ? chunk.at(pointer) : json();
    return text.is_string() ? text.get<std::string>() : std::string();
}

} // namespace

std::string_view nameOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Whole:
        return "whole";
    case Verdict::Truncated:
        return "truncated";
    case Verdict::Doubled:
        return "doubled";
    case Verdict::Reordered:
        return "reordered";
    case Verdict::Crossed:
        return "crossed";
    case Verdict::Refused:
        return "refused";
    case Verdict::Lost:
        return "lost";
    }
    return "lost";
}

bool isWrong(Verdict verdict)
{
    return verdict != Verdict::Whole && verdict != Verdict::Refused && verdict != Verdict::Lost;
}

AnswerError readError(std::string_view body)
{
    return toError(json::parse(body, nullptr, false));
}

AnswerCheck::AnswerCheck(standins::AnswerText expected, std::uint32_t tokens)
    : m_expected(std::move(expected))
    , m_tokens(tokens)
{
}

void AnswerCheck::addBytes(std::string_view piece, base::Time now)
{
    m_buffer += piece;
    for (auto end = m_buffer.find(EventEnd); end != std::string::npos; end = m_buffer.find(EventEnd)) {
        const auto event = m_buffer.substr(0, end);
        m_buffer.erase(0, end + EventEnd.size());
        processEvent(event, now);
    }
}

void AnswerCheck::processEvent(std::string_view event, base::Time now)
{
    const auto data = eventData(event);
    if (data.empty()) {
        return;
    }
    if (data == EndMark) {
        if (m_isDone) {
            m_fault = Verdict::Doubled;
        }
        m_isDone = true;
        return;
    }
    const auto chunk = json::parse(data, nullptr, false);
    const auto error = toError(chunk);
    if (!error.code.empty()) {
        m_error = error;
        return;
    }
    const auto text = tokenText(chunk);
    if (!text.empty()) {
        processToken(text, now);
    }
}

void AnswerCheck::processToken(const std::string &text, base::Time now)
{
    if (m_fault != Verdict::Whole) {
        return;
    }
    if (m_next >= m_tokens || m_isDone || text != m_expected.token(m_next)) {
        m_fault = classify(text);
        return;
    }
    if (m_next == 0) {
        m_firstToken = now;
    } else {
        m_gaps.push_back(now - m_lastToken);
    }
    m_lastToken = now;
    ++m_next;
}

Verdict AnswerCheck::classify(const std::string &text) const
{
    for (std::uint32_t n = 0; n < m_tokens; ++n) {
        if (text == m_expected.token(n)) {
            return n < m_next ? Verdict::Doubled : Verdict::Reordered;
        }
    }
    return Verdict::Crossed;
}

Verdict AnswerCheck::end(bool isEndSeen) const
{
    if (m_fault != Verdict::Whole) {
        return m_fault;
    }
    if (!m_error.code.empty()) {
        return Verdict::Refused;
    }
    if (m_isDone && m_next == m_tokens) {
        return Verdict::Whole;
    }
    return isEndSeen ? Verdict::Truncated : Verdict::Lost;
}

std::uint32_t AnswerCheck::tokens() const
{
    return m_next;
}

base::Time AnswerCheck::firstToken() const
{
    return m_firstToken;
}

const std::vector<base::Duration> &AnswerCheck::gaps() const
{
    return m_gaps;
}

const AnswerError &AnswerCheck::error() const
{
    return m_error;
}

} // namespace turmericplank::cli
