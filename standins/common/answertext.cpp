#include "common/answertext.hpp"

#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::standins {

AnswerText::AnswerText(std::string_view model, const nlohmann::json &messages)
    : m_promptDigest(base::digest(std::string(model) + '\0' + messages.dump()))
{
}

std::string AnswerText::token(std::uint32_t index) const
{
    std::array<char, 16> buffer{};
    const auto hash = static_cast<std::uint32_t>(base::fingerprint(m_promptDigest, index));
    const int length = std::snprintf(buffer.data(), buffer.size(), " %08x", hash);
    return std::string(buffer.data(), static_cast<std::size_t>(length));
}

std::string AnswerText::tokens(std::uint32_t from, std::uint32_t end) const
{
    std::string text;
    for (auto n = from; n < end; ++n) {
        text += token(n);
    }
    return text;
}

} // namespace turmericplank::standins
