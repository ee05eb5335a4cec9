#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace turmericplank::standins {

/// @brief The answer that every stand-in engine gives to one prompt: a function of the model, the messages and the index.
class AnswerText
{
public:
    /// @param model name as the caller wrote it, of a model or an adapter
    /// @param messages the request's messages, in any order of keys
    AnswerText(std::string_view model, const nlohmann::json &messages);

    /// @brief Text of one token.
    /// @param index index of the token, from 0
    std::string token(std::uint32_t index) const;

    /// @brief Text of several tokens in a row.
    /// @param from index of the first one
    /// @param end index after the last one
    std::string tokens(std::uint32_t from, std::uint32_t end) const;

private:
    std::string m_promptDigest;
};

} // namespace turmericplank::standins
