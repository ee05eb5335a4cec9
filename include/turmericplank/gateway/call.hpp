#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::gateway {

/// @brief A part of a prompt that several calls may share.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    friend auto operator<=>(const PromptPart &, const PromptPart &) = default;
    friend bool operator==(const PromptPart &, const PromptPart &) = default;
};

/// @brief What a caller's headers say of its call; everything else is passed on unread.
struct Call
{
    std::string id; ///< one attempt of the caller
    std::string host;
    base::ModelName model; ///< the model, or model/adapter; empty for a plain service
    std::vector<PromptPart> prompt; ///< in the order of the prompt
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; ///< most that the answer may have
    std::optional<base::Duration> patience; ///< how long the caller waits, from the arrival of the call
    std::optional<std::uint64_t> lastEvent; ///< last event that the caller has of a stream that it resumes

    friend bool operator==(const Call &, const Call &) = default;
};

/// @brief What the daemon adds to a call that it sends to an endpoint.
struct SendHead
{
    base::EndpointId instance; ///< any other instance at that address must refuse
    std::optional<base::Duration> timeLeft; ///< until the caller or its route gives the call up
    std::uint32_t urgency = 5; ///< 0 is admitted first, 9 last; for engines only
    std::optional<std::uint64_t> lastEvent; ///< the stream is to go on behind this event

    friend bool operator==(const SendHead &, const SendHead &) = default;
};

/// @brief What the head of an endpoint's answer says to the daemon.
struct AnswerHead
{
    int status = 0;
    std::string callId; ///< call that it belongs to; empty if it does not say
    std::string instance; ///< the instance that answers, where it says so
    bool isSealed = false; ///< carries the endpoint's proof that the answer is its own
    bool isNotRun = false; ///< the endpoint says that it did not run the call
    bool isMisdirected = false; ///< another instance answers, or the weights asked for are not there
    std::optional<base::Duration> idleTimeout; ///< the endpoint closes a connection that is idle for longer

    friend bool operator==(const AnswerHead &, const AnswerHead &) = default;
};

/// @brief Why a call is answered by the daemon itself.
enum class RefusalReason {
    NoConfiguration, ///< not run; nothing is in force yet
    NoRoute, ///< not run; no route matches
    BadRequest, ///< not run; the call cannot be read
    NoEndpoint, ///< not run; no endpoint of the service can take it
    NotResident, ///< not run; no engine holds the model or adapter yet
    Leaving, ///< not run; this daemon stops
    Overloaded, ///< not run; it could not be answered in time
    Refused, ///< not run; the endpoints refused it
    Unknown, ///< it may have run; its connection was lost
    TimedOut, ///< it may have run; its time is over
};

/// @brief The word of a reason in logs.
std::string_view toString(RefusalReason reason);

/// @brief An answer of the daemon itself.
struct Refusal
{
    RefusalReason reason = RefusalReason::NoEndpoint;
    std::optional<base::Duration> retryAfter; ///< when asking again is worth while; only where the call has not run

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

} // namespace turmericplank::gateway
