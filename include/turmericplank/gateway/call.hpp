#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/accounts/account.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/net/httptypes.hpp"
#include "turmericplank/requests/endpointloss.hpp"

namespace turmericplank::gateway {

/// @brief A part of a prompt that several calls may have in common.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    friend auto operator<=>(const PromptPart &, const PromptPart &) = default;
    friend bool operator==(const PromptPart &, const PromptPart &) = default;
};

/// @brief The headers of a caller's request that the daemon evaluates; all others are forwarded as they are.
struct Call
{
    std::string id; ///< identifies one attempt of the caller
    std::string host;
    base::ModelName model; ///< model, or model/adapter; empty for a plain service
    std::vector<PromptPart> prompt; ///< in prompt order
    std::uint32_t promptTokens = 0;
    std::uint32_t maxAnswerTokens = 0; ///< maximum length of the answer
    std::optional<base::Duration> callerTimeout; ///< how long the caller waits, counted from the arrival of the call
    std::optional<std::uint64_t> lastEventId; ///< last event that the caller has received of the stream that it resumes
    std::string resumedCall; ///< id of the call that brought the first event of that stream; empty if not given
    std::optional<accounts::KeyDigest> key; ///< of the API key, if there is exactly one
    std::optional<std::uint64_t> statedTokens; ///< of the prompt and the longest answer, if the call states them

    friend bool operator==(const Call &, const Call &) = default;
};

/// @brief Fingerprints of what a call has in common with repetitions of it by callers.
/// @return that of method, host, target and body, and that without the query of the target if it has one, since repetitions may differ in it
std::vector<requests::Fingerprint> contentFingerprints(const Call &call, const net::HttpRequest &request);

/// @brief Fingerprints of the parts of a call's prompt that other calls may share: all but the last one.
std::vector<requests::Fingerprint> sharedPartFingerprints(const base::ServiceName &service, const std::vector<PromptPart> &prompt);

/// @brief A fingerprint as it is written in logs: 16 hexadecimal digits.
std::string toString(requests::Fingerprint fingerprint);

/// @brief Headers that the daemon adds to each attempt, a call that it sends to an endpoint.
struct AttemptHeaders
{
    base::EndpointId expectedInstance; ///< any other instance at the same address must reject the call
    std::optional<base::Duration> remainingTime; ///< until the timeout of the caller or the route
    std::uint32_t urgency = 5; ///< 0 is admitted first, 9 last; used by engines only
    std::optional<std::uint64_t> lastEventId; ///< the stream resumes after this event
    /// Account of the caller, or an empty name; it replaces the caller's key and what the caller states as its account. Nothing if the site has no
    /// accounts: the caller's headers are forwarded then.
    std::optional<base::CallerName> account;

    friend bool operator==(const AttemptHeaders &, const AttemptHeaders &) = default;
};

/// @brief Status and headers of an endpoint's response that the daemon evaluates.
struct ResponseHead
{
    int status = 0;
    std::string callId; ///< call that the response belongs to; empty if not given
    std::string instance; ///< instance that responded; empty if not given
    bool isAuthentic = false; ///< has the endpoint's seal, which proves that the response is its own
    bool isNotRun = false; ///< the endpoint states that it did not run the call
    bool isMisdirected = false; ///< another instance responded, or the requested weights are not resident
    bool isLeaving = false; ///< the instance that responded is shutting down and wants no more calls
    std::optional<base::Duration> idleTimeout; ///< after which the endpoint closes an idle connection
    std::optional<std::uint32_t> rejectionTolerance; ///< calls per second that the endpoint can reject for lack of room without failing
    std::optional<double> callsPerSecond; ///< that the endpoint takes from all daemons together, as long as its responses say so
    std::optional<base::Duration> pause; ///< for how long the endpoint wants no more calls from this daemon

    friend bool operator==(const ResponseHead &, const ResponseHead &) = default;
};

/// @brief Why the daemon rejects a call.
enum class RejectionReason {
    NoConfiguration, ///< not run; no configuration is in force yet
    NoRoute, ///< not run; no route matches
    ConfigurationUncertain, ///< not run; no route or account matches, but the configuration may have changed
    BadRequest, ///< not run; the request is malformed
    UnknownKey, ///< not run; the call has no API key of an account
    LimitExceeded, ///< not run; the account has used up its limit
    NoEndpoint, ///< not run; no endpoint of the service has capacity
    NotResident, ///< not run; the model or adapter is not resident on any engine yet
    VersionUnavailable, ///< not run; the stream cannot be resumed, since the software version that began it is unknown or gone
    CrashesEndpoints, ///< not run; endpoints were lost while they ran the same content
    Draining, ///< not run; this daemon is shutting down
    Overloaded, ///< not run; the call could not be answered in time
    RejectedByEndpoints, ///< not run; the endpoints rejected it
    OutcomeUnknown, ///< may have run; the connection was lost
    TimedOut, ///< may have run; the deadline has passed
};

/// @brief Name of a reason in logs, metrics and response bodies.
std::string_view toString(RejectionReason reason);

/// @brief A rejection by the daemon.
struct Rejection
{
    RejectionReason reason = RejectionReason::NoEndpoint;
    std::optional<base::Duration> retryAfter; ///< when a retry is worthwhile; set only if the call has not run

    friend bool operator==(const Rejection &, const Rejection &) = default;
};

} // namespace turmericplank::gateway
