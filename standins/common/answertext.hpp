#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace turmericplank::standins {

/// @brief Deterministic answer of the stand-in engines: each token depends only on the model, the messages and its index.
class AnswerText
{
public:
    /// @param model name of the model or adapter as written in the request
    /// @param messages messages of the request; the order of their JSON keys does not matter
    AnswerText(std::string_view model, const nlohmann::json &messages);

    /// @brief Text of one token.
    /// @param index zero-based index of the token
    std::string token(std::uint32_t index) const;

    /// @brief Concatenated text of the tokens in [from, end).
    std::string tokens(std::uint32_t from, std::uint32_t end) const;

private:
    std::string m_promptDigest;
};

} // namespace turmericplank::standins
