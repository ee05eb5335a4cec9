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

/// @brief Decisions of a call that tests replace by broken ones.
struct EndpointCallRules
{
    std::function<bool(base::Attempt piece, base::Attempt current)> isCurrent; ///< whether a piece's attempt may be heard
    std::function<bool(std::uint64_t offset, std::uint64_t delivered)> isNext; ///< whether a piece is the next to deliver
    std::function<bool(AttemptResult)> mayRepeat; ///< whether an unrepeatable call may be sent again after this end
    std::function<base::Outcome(const OutcomeRecord &)> outcome; ///< what the caller is told
    bool endsSilentAttempts = true; ///< whether a silent attempt is given up
};

/// @brief The rules that the daemon runs with.
EndpointCallRules endpointCallRules();

/// @brief How one call is carried to endpoints.
struct EndpointCallOptions
{
    base::RequestId id;
    bool isRepeatable = true; ///< whether it may run more than once
    bool canResume = false; ///< whether endpoints can resume its stream
    unsigned attemptLimit = 4; ///< runs at endpoints, resumptions excluded
    unsigned resumeLimit = 3; ///< resumptions over the whole call
    base::Duration firstProgress = std::chrono::seconds(5); ///< from sending to the first piece
    base::Duration silence = std::chrono::seconds(5); ///< between two pieces
    EndpointCallRules rules = endpointCallRules();
};

/// @brief Send an attempt, or resume the stream of an earlier one on the same endpoint.
struct SendAttempt
{
    base::Attempt attempt;
    EndpointChoice choice;
    std::string runId; ///< names the run at the endpoint; a resumption names the run that it resumes
    std::uint64_t offset = 0; ///< pieces that were delivered already
    bool isResume = false;

    friend bool operator==(const SendAttempt &, const SendAttempt &) = default;
};

/// @brief Close an attempt's connection and tell the endpoint to stop.
struct CancelAttempt
{
    base::Attempt attempt;
    EndpointChoice choice;
    std::string runId;

    friend bool operator==(const CancelAttempt &, const CancelAttempt &) = default;
};

/// @brief Hand a piece to the caller.
struct DeliverPiece
{
    std::uint64_t offset = 0;
    std::string text;

    friend bool operator==(const DeliverPiece &, const DeliverPiece &) = default;
};

/// @brief An attempt failed; another endpoint is needed unless the call has ended.
struct ChooseNext
{
    EndpointChoice previous;
    AttemptResult end = AttemptResult::NotSent; ///< how the attempt there ended
    bool isEndpointLost = false; ///< the previous endpoint went down with the call on it

    friend bool operator==(const ChooseNext &, const ChooseNext &) = default;
};

/// @brief The whole answer was delivered.
struct CompleteCall
{
    friend bool operator==(const CompleteCall &, const CompleteCall &) = default;
};

/// @brief The call ends in an error.
struct FailCall
{
    CallError error;

    friend bool operator==(const FailCall &, const FailCall &) = default;
};

using EndpointCallAction = std::variant<SendAttempt, CancelAttempt, DeliverPiece, ChooseNext, CompleteCall, FailCall>;
using EndpointCallActions = std::vector<EndpointCallAction>;

/// @brief Carries one call over its attempts, so that the caller gets each piece once and in order.
///
/// A broken or silent attempt is resumed on the same endpoint over a new connection; if that fails, the call goes on at
/// another endpoint from the delivered offset. Pieces of earlier attempts are dropped. An endpoint that broke a stream off
/// or fell silent, and then does not go on with it over a new connection, counts as lost.
class EndpointCall
{
public:
    /// @param options how the call is carried
    /// @param deadline no attempt starts after it
    EndpointCall(EndpointCallOptions options, base::Time deadline);

    /// @brief The endpoint that the next attempt must not use, empty for none.
    const base::EndpointId &lastEndpoint() const;

    /// @brief Sends an attempt to an endpoint that differs from the last one.
    EndpointCallActions send(const EndpointChoice &choice, base::Time now);
    /// @brief A piece came.
    EndpointCallActions piece(base::Attempt attempt, std::uint64_t offset, std::string text, base::Time now);
    /// @brief An attempt ended.
    EndpointCallActions attemptEnded(base::Attempt attempt, AttemptResult end, base::Time now);
    /// @brief Gives up silent attempts and calls without any whose deadline has passed.
    EndpointCallActions tick(base::Time now);
    /// @brief Ends the call with an error.
    EndpointCallActions giveUp(ErrorCode code, std::optional<base::Time> retryAt);
    /// @brief Ends the call without a word because its caller has gone.
    EndpointCallActions cancel();

    /// @brief Whether the call has ended.
    bool isOver() const;
    /// @brief Whether an attempt is under way.
    bool isRunning() const;
    /// @brief Pieces delivered so far.
    std::uint64_t delivered() const;
    /// @brief Whether the number of attempts allows another.
    bool hasAttemptsLeft() const;
    /// @brief What the caller may be told now.
    base::Outcome outcome() const;

private:
    EndpointCallActions resume(base::Time now);
    EndpointCallActions next(AttemptResult end, bool isEndpointLost);
    void finishAttempt(AttemptResult end);

    EndpointCallOptions m_options;
    base::Time m_deadline;
    OutcomeRecord m_record;
    EndpointChoice m_choice;
    std::string m_wireId;
    base::Attempt m_attempt;
    base::Time m_progressDeadline;
    std::uint64_t m_delivered = 0;
    unsigned m_runs = 0;
    unsigned m_resumes = 0;
    bool m_isRunning = false;
    bool m_isResume = false;
    bool m_hasProgress = false; ///< the resumption brought a piece
    bool m_isOver = false;
};

} // namespace turmericplank::requests
