#pragma once

#include <string_view>

namespace turmericplank::base {

/// @brief What is known of a request whose answer is an error.
enum class Outcome {
    NotRun, ///< no endpoint ran it and none will
    Unknown, ///< an endpoint may have run it or may still run it
};

/// @brief The word that stands in the answer.
/// @param outcome what is known
constexpr std::string_view toString(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not_run" : "unknown";
}

} // namespace turmericplank::base
