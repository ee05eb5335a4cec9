#include "turmericplank/requests/callerror.hpp"

#include <array>

namespace turmericplank::requests {

namespace {

struct CodeEntry
{
    ErrorCode code;
    std::string_view name;
    int status;
};

constexpr std::array Entries = {
    CodeEntry{ErrorCode::BadRequest, "bad_request", 400},
    CodeEntry{ErrorCode::BadHeader, "bad_header", 400},
    CodeEntry{ErrorCode::MissingIdempotencyKey, "missing_idempotency_key", 400},
    CodeEntry{ErrorCode::UnknownModel, "unknown_model", 404},
    CodeEntry{ErrorCode::UnknownService, "unknown_service", 404},
    CodeEntry{ErrorCode::DeadlinePassed, "deadline_passed", 408},
    CodeEntry{ErrorCode::DeadlineTooNear, "deadline_too_near", 503},
    CodeEntry{ErrorCode::QueueFull, "queue_full", 503},
    CodeEntry{ErrorCode::CallerRateLimit, "caller_rate_limit", 429},
    CodeEntry{ErrorCode::CallerConcurrencyLimit, "caller_concurrency_limit", 429},
    CodeEntry{ErrorCode::NoEndpoint, "no_endpoint", 503},
    CodeEntry{ErrorCode::EndpointsFailed, "endpoints_failed", 502},
    CodeEntry{ErrorCode::RetryBudgetSpent, "retry_budget_spent", 503},
    CodeEntry{ErrorCode::StreamBroken, "stream_broken", 502},
    CodeEntry{ErrorCode::RequestCrashesEndpoints, "request_crashes_endpoints", 422},
    CodeEntry{ErrorCode::SuspectOnTrial, "suspect_on_trial", 503},
    CodeEntry{ErrorCode::KeyReused, "key_reused", 422},
    CodeEntry{ErrorCode::CallInProgress, "call_in_progress", 409},
    CodeEntry{ErrorCode::CallOutcomeUnknown, "call_outcome_unknown", 502},
    CodeEntry{ErrorCode::StoreUnavailable, "store_unavailable", 503},
    CodeEntry{ErrorCode::Draining, "draining", 503},
    CodeEntry{ErrorCode::Starting, "starting", 503},
    CodeEntry{ErrorCode::TooLarge, "too_large", 413},
};

const CodeEntry &entry(ErrorCode code)
{
    for (const auto &it : Entries) {
        if (it.code == code) {
            return it;
        }
    }
    return Entries.front();
}

} // namespace

std::string_view toString(ErrorCode code)
{
    return entry(code).name;
}

int httpStatus(ErrorCode code)
{
    return entry(code).status;
}

} // namespace turmericplank::requests
