#pragma once

#include <optional>
#include <string_view>

#include "turmericplank/base/outcome.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::requests {

/// @brief Reasons for which a caller gets an error instead of an answer.
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

/// @brief Stable name of a code in error answers.
/// @param code the reason
std::string_view toString(ErrorCode code);

/// @brief HTTP status of an error answer.
/// @param code the reason
int httpStatus(ErrorCode code);

/// @brief An error that ends a call.
struct CallError
{
    ErrorCode code = ErrorCode::BadRequest;
    base::Outcome outcome = base::Outcome::NotRun;
    std::optional<base::Time> retryAt; ///< when a retry may succeed

    friend bool operator==(const CallError &, const CallError &) = default;
};

} // namespace turmericplank::requests
