#pragma once

#include <optional>
#include <string>
#include <vector>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/outcome.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::daemon {

/// @brief Content of an error response.
struct ErrorBody
{
    int status = 500; ///< HTTP status
    std::string code; ///< stable, machine-readable name of the error
    base::Outcome outcome = base::Outcome::Unknown;
    std::string message; ///< human-readable explanation
    std::optional<base::Time> retryAt; ///< earliest time at which a retry makes sense
    std::vector<base::Address> addresses; ///< daemons to use instead

    friend bool operator==(const ErrorBody &, const ErrorBody &) = default;
};

/// @brief Formats an error as JSON: {"error": {"code", "outcome", "message", "retry_at", "addresses"}}.
std::string toJson(const ErrorBody &error);

/// @brief Builds the response to a failed request, with a Retry-After header in seconds if the error has a retry time.
net::HttpResponse errorResponse(const ErrorBody &error);

/// @brief Builds the response to a request that exceeds a limit or cannot be parsed.
/// @param status HTTP status: 400, 408, 413 or 431
net::HttpResponse badRequestResponse(int status);

} // namespace turmericplank::daemon
