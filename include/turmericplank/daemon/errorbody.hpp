#pragma once

#include <optional>
#include <string>
#include <vector>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/outcome.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::daemon {

/// @brief What every error answer tells a caller.
struct ErrorBody
{
    int status = 500; ///< HTTP status
    std::string code; ///< stable word for programs
    base::Outcome outcome = base::Outcome::Unknown;
    std::string message; ///< for people
    std::optional<base::Time> retryAt; ///< when to come back
    std::vector<base::Address> addresses; ///< where to go instead

    friend bool operator==(const ErrorBody &, const ErrorBody &) = default;
};

/// @brief The JSON of an error: {"error": {"code", "outcome", "message", "retry_at", "addresses"}}.
/// @param error what to tell
std::string toJson(const ErrorBody &error);

/// @brief The whole answer, with a Retry-After header in seconds where a time to come back is known.
/// @param error what to tell
net::HttpResponse errorResponse(const ErrorBody &error);

/// @brief The answer to a request that breaks a limit or cannot be parsed.
/// @param status HTTP status: 400, 408, 413 or 431
net::HttpResponse badRequestResponse(int status);

} // namespace turmericplank::daemon
