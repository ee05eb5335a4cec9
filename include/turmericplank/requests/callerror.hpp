#pragma once

#include <optional>
#include <string_view>

#include "turmericplank/base/outcome.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::requests {

/// @brief Every reason for which a caller gets an error in place of an answer.
enum class ErrorCode {
    BadRequest,
    BadHeader,
    MissingIdempotencyKey,
    UnknownModel,
    UnknownService,
    DeadlinePassed,
    DeadlineTooNear,
    QueueFull,
    CallerRateLimit,
    CallerConcurrencyLimit,
    NoEndpoint,
    EndpointsFailed,
    RetryBudgetSpent,
    StreamBroken,
    RequestCrashesEndpoints,
    SuspectOnTrial,
    KeyReused,
    CallInProgress,
    CallOutcomeUnknown,
    StoreUnavailable,
    Draining,
    Starting,
    TooLarge,
};

/// @brief The stable word of a code, as it stands in error answers.
/// @param code the reason
std::string_view toString(ErrorCode code);

/// @brief HTTP status of an error answer.
/// @param code the reason
int httpStatus(ErrorCode code);

/// @brief An error as the caller is told.
struct CallError
{
    ErrorCode code = ErrorCode::BadRequest;
    base::Outcome outcome = base::Outcome::NotRun;
    std::optional<base::Time> retryAt; ///< when asking again may help

    friend bool operator==(const CallError &, const CallError &) = default;
};

} // namespace turmericplank::requests
