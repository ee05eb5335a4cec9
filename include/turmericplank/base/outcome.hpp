#pragma once

#include <string_view>

namespace turmericplank::base {

/// @brief What is known about the execution of a request that was answered with an error.
enum class Outcome {
    NotRun, ///< no endpoint ran the request or will run it
    Unknown, ///< an endpoint may have run the request or may still run it
};

/// @brief The outcome as it is written in error responses.
constexpr std::string_view toString(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not_run" : "unknown";
}

} // namespace turmericplank::base
