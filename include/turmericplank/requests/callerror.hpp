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
    DeadlineTooNear, ///< the call could not be answered before its deadline
    QueueFull,
    CallerRateLimit,
    CallerConcurrencyLimit,
    NoEndpoint,
    EndpointsFailed, ///< all allowed attempts failed
    RetryBudgetSpent,
    StreamBroken,
    RequestCrashesEndpoints, ///< the request is blocked, see SuspectState
    SuspectOnTrial, ///< the request is a suspect and its trial cannot start now
    KeyReused, ///< the idempotency key belongs to a call with another body
    CallInProgress, ///< a duplicate of a call whose owner, another daemon, has not answered yet
    CallOutcomeUnknown, ///< an unrepeatable call may have run, and its answer is lost
    StoreUnavailable,
    Draining,
    Starting, ///< the daemon has not received the suspects of all other daemons yet
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
    std::optional<base::Time> retryAt; ///< when a retry may succeed; nothing if no time can be given

    friend bool operator==(const CallError &, const CallError &) = default;
};

} // namespace turmericplank::requests
