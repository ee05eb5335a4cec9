#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "turmericplank/base/number.hpp"
#include "turmericplank/requests/attemptresult.hpp"
#include "turmericplank/requests/callerror.hpp"
#include "turmericplank/requests/endpointchoice.hpp"

namespace turmericplank::requests {

/// @brief Rules of a call that tests replace with broken ones.
struct EndpointCallRules
{
    std::function<bool(base::Attempt piece, base::Attempt current)> isCurrent; ///< whether pieces of this attempt are accepted
    std::function<bool(std::uint64_t offset, std::uint64_t delivered)> isNext; ///< whether a piece is the next to deliver
    std::function<bool(AttemptResult)> mayRepeat; ///< whether an unrepeatable call may be sent again after this result
    std::function<base::Outcome(const OutcomeRecord &)> outcome; ///< outcome that the caller is told
    bool timesOutSilentAttempts = true; ///< whether attempts without progress are ended
};

/// @brief Rules that the daemon uses.
EndpointCallRules endpointCallRules();

/// @brief Limits and properties of one call.
struct EndpointCallOptions
{
    base::RequestId id;
    bool isRepeatable = true; ///< whether the call may run more than once
    bool canResume = false; ///< whether endpoints can resume the stream
    unsigned maxAttempts = 4; ///< runs at endpoints, not counting resumptions
    unsigned maxResumes = 3; ///< resumptions during the whole call
    base::Duration firstPieceTimeout = std::chrono::seconds(5); ///< from sending to the first piece
    base::Duration pieceTimeout = std::chrono::seconds(5); ///< between two pieces
    EndpointCallRules rules = endpointCallRules();
};

/// @brief Sends an attempt, or resumes the stream of an earlier one on the same endpoint.
struct SendAttempt
{
    base::Attempt attempt;
    EndpointChoice choice;
    std::string runId; ///< identifies the run at the endpoint; a resumption has the id of the run that it resumes
    std::uint64_t offset = 0; ///< number of pieces that were delivered already
    bool isResume = false;

    friend bool operator==(const SendAttempt &, const SendAttempt &) = default;
};

/// @brief Closes the connection of an attempt and tells the endpoint to stop the run.
struct CancelAttempt
{
    base::Attempt attempt;
    EndpointChoice choice;
    std::string runId;

    friend bool operator==(const CancelAttempt &, const CancelAttempt &) = default;
};

/// @brief Delivers a piece to the caller.
struct DeliverPiece
{
    std::uint64_t offset = 0;
    std::string text;

    friend bool operator==(const DeliverPiece &, const DeliverPiece &) = default;
};

/// @brief Reports a failed attempt; another endpoint is needed unless the call has ended.
struct ChooseNext
{
    EndpointChoice previous;
    AttemptResult result = AttemptResult::NotSent; ///< result of the failed attempt
    bool isEndpointLost = false; ///< whether the previous endpoint counts as lost while it ran the call

    friend bool operator==(const ChooseNext &, const ChooseNext &) = default;
};

/// @brief Ends the call after the complete answer was delivered.
struct CompleteCall
{
    friend bool operator==(const CompleteCall &, const CompleteCall &) = default;
};

/// @brief Ends the call with an error.
struct FailCall
{
    CallError error;

    friend bool operator==(const FailCall &, const FailCall &) = default;
};

using EndpointCallAction = std::variant<SendAttempt, CancelAttempt, DeliverPiece, ChooseNext, CompleteCall, FailCall>;
using EndpointCallActions = std::vector<EndpointCallAction>;

/// @brief Runs one call over one or more attempts; the caller gets each piece once and in order.
///
/// After a connection loss or a timeout, the stream is resumed on the same endpoint over a new connection. If that fails,
/// the call continues at another endpoint from the delivered offset. Pieces of earlier attempts are dropped. An endpoint
/// that broke a connection or timed out, and then does not continue the stream over a new connection, counts as lost. If
/// the call cannot be resumed, the endpoint counts as lost at once.
class EndpointCall
{
public:
    /// @param options limits and properties of the call
    /// @param deadline time after which no attempt starts
    EndpointCall(EndpointCallOptions options, base::Time deadline);

    /// @brief Endpoint of the last attempt, which the next one must not use; empty before the first.
    const base::EndpointId &lastEndpoint() const;

    /// @brief Starts an attempt at an endpoint other than the last one.
    EndpointCallActions send(const EndpointChoice &choice, base::Time now);
    /// @brief Handles a piece of an attempt's answer.
    EndpointCallActions piece(base::Attempt attempt, std::uint64_t offset, std::string text, base::Time now);
    /// @brief Handles the end of an attempt.
    EndpointCallActions attemptEnded(base::Attempt attempt, AttemptResult result, base::Time now);
    /// @brief Ends an attempt that has timed out, or the call if no attempt is running and its deadline has passed.
    EndpointCallActions tick(base::Time now);
    /// @brief Ends the call with an error.
    EndpointCallActions giveUp(ErrorCode code, std::optional<base::Time> retryAt);
    /// @brief Ends the call without an answer, because its caller has disconnected.
    EndpointCallActions cancel();

    /// @brief Whether the call has ended.
    bool hasEnded() const;
    /// @brief Whether an attempt is running.
    bool isRunning() const;
    /// @brief Number of pieces delivered so far.
    std::uint64_t delivered() const;
    /// @brief Whether another attempt is allowed by the limit.
    bool hasAttemptsLeft() const;
    /// @brief Outcome that the caller may be told now.
    base::Outcome outcome() const;

private:
    EndpointCallActions resume(base::Time now);
    EndpointCallActions chooseNext(AttemptResult result, bool isEndpointLost);
    void finishAttempt(AttemptResult result);

    EndpointCallOptions m_options;
    base::Time m_deadline;
    OutcomeRecord m_record;
    EndpointChoice m_choice;
    std::string m_runId;
    base::Attempt m_attempt;
    base::Time m_progressDeadline;
    std::uint64_t m_delivered = 0;
    unsigned m_runs = 0;
    unsigned m_resumes = 0;
    bool m_isRunning = false;
    bool m_isResume = false;
    bool m_hasProgress = false; ///< whether the resumption brought a piece
    bool m_hasEnded = false;
};

} // namespace turmericplank::requests
