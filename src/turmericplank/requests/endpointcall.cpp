#include "turmericplank/requests/endpointcall.hpp"

#include <algorithm>
#include <utility>

namespace turmericplank::requests {

namespace {

void append(EndpointCallActions &to, EndpointCallActions from)
{
    std::move(from.begin(), from.end(), std::back_inserter(to));
}

} // namespace

EndpointCallRules endpointCallRules()
{
    EndpointCallRules rules;
    rules.isCurrent = [](base::Attempt piece, base::Attempt current) {
        return piece == current;
    };
    rules.isNext = [](std::uint64_t offset, std::uint64_t delivered) {
        return offset == delivered;
    };
    rules.mayRepeat = [](AttemptResult result) {
        return !mayHaveRun(result);
    };
    rules.outcome = [](const OutcomeRecord &record) {
        return record.outcome();
    };
    return rules;
}

EndpointCall::EndpointCall(EndpointCallOptions options, base::Time deadline)
    : m_options(std::move(options))
    , m_deadline(deadline)
{
}

const base::EndpointId &EndpointCall::lastEndpoint() const
{
    return m_choice.endpoint;
}

EndpointCallActions EndpointCall::send(const EndpointChoice &choice, base::Time now)
{
    m_choice = choice;
    m_attempt = m_attempt.next();
    m_runId = m_options.id.text() + '-' + std::to_string(m_attempt.value());
    m_progressDeadline = now + m_options.firstPieceTimeout;
    m_isRunning = true;
    m_isResume = false;
    ++m_runs;
    m_record.begin();
    return {SendAttempt{m_attempt, m_choice, m_runId, m_delivered, false}};
}

EndpointCallActions EndpointCall::resume(base::Time now)
{
    m_attempt = m_attempt.next();
    m_progressDeadline = now + m_options.firstPieceTimeout;
    m_isRunning = true;
    m_hasProgress = false;
    m_isResume = true;
    ++m_resumes;
    m_record.begin();
    return {SendAttempt{m_attempt, m_choice, m_runId, m_delivered, true}};
}

EndpointCallActions EndpointCall::piece(base::Attempt attempt, std::uint64_t offset, std::string text, base::Time now)
{
    if (m_hasEnded || !m_isRunning || !m_options.rules.isCurrent(attempt, m_attempt)) {
        return {};
    }
    m_progressDeadline = now + m_options.pieceTimeout;
    m_hasProgress = true;
    if (m_options.rules.isNext(offset, m_delivered)) {
        m_delivered = offset + 1;
        return {DeliverPiece{offset, std::move(text)}};
    }
    if (offset < m_delivered) {
        return {};
    }
    EndpointCallActions actions = {CancelAttempt{m_attempt, m_choice, m_runId}};
    append(actions, attemptEnded(m_attempt, AttemptResult::Malformed, now));
    return actions;
}

EndpointCallActions EndpointCall::attemptEnded(base::Attempt attempt, AttemptResult result, base::Time now)
{
    if (m_hasEnded || !m_isRunning || !m_options.rules.isCurrent(attempt, m_attempt)) {
        return {};
    }
    const bool wasResume = m_isResume;
    finishAttempt(result);
    if (result == AttemptResult::Answered) {
        m_hasEnded = true;
        return {CompleteCall{}};
    }
    const bool isInterrupted = result == AttemptResult::Lost || result == AttemptResult::Silent;
    if (!m_options.isRepeatable && !m_options.rules.mayRepeat(result)) {
        EndpointCallActions actions;
        actions.emplace_back(ChooseNext{m_choice, result, isInterrupted});
        append(actions, giveUp(ErrorCode::CallOutcomeUnknown, std::nullopt));
        return actions;
    }
    if (m_options.canResume && isInterrupted && !wasResume && m_resumes < m_options.maxResumes) {
        return resume(now);
    }
    return chooseNext(result, m_options.canResume ? result == AttemptResult::Lost || (wasResume && !m_hasProgress) : isInterrupted);
}

EndpointCallActions EndpointCall::chooseNext(AttemptResult result, bool isEndpointLost)
{
    return {ChooseNext{m_choice, result, isEndpointLost}};
}

EndpointCallActions EndpointCall::tick(base::Time now)
{
    if (m_hasEnded) {
        return {};
    }
    if (!m_isRunning) {
        return now >= m_deadline ? giveUp(ErrorCode::DeadlinePassed, std::nullopt) : EndpointCallActions();
    }
    if (now < m_progressDeadline || !m_options.rules.timesOutSilentAttempts) {
        return {};
    }
    EndpointCallActions actions;
    // A run whose stream can still be resumed is not cancelled.
    if (!m_options.canResume || m_isResume) {
        actions.emplace_back(CancelAttempt{m_attempt, m_choice, m_runId});
    }
    append(actions, attemptEnded(m_attempt, AttemptResult::Silent, now));
    return actions;
}

EndpointCallActions EndpointCall::giveUp(ErrorCode code, std::optional<base::Time> retryAt)
{
    if (m_hasEnded) {
        return {};
    }
    auto actions = cancel();
    actions.emplace_back(FailCall{CallError{code, outcome(), retryAt}});
    return actions;
}

EndpointCallActions EndpointCall::cancel()
{
    if (m_hasEnded) {
        return {};
    }
    m_hasEnded = true;
    if (!m_isRunning) {
        return {};
    }
    finishAttempt(AttemptResult::Silent);
    EndpointCallActions actions = {CancelAttempt{m_attempt, m_choice, m_runId}};
    if (m_isResume && !m_hasProgress) {
        actions.emplace_back(ChooseNext{m_choice, AttemptResult::Silent, true});
    }
    return actions;
}

void EndpointCall::finishAttempt(AttemptResult result)
{
    m_isRunning = false;
    m_record.finish(result);
}

bool EndpointCall::hasEnded() const
{
    return m_hasEnded;
}

bool EndpointCall::isRunning() const
{
    return m_isRunning;
}

std::uint64_t EndpointCall::delivered() const
{
    return m_delivered;
}

bool EndpointCall::hasAttemptsLeft() const
{
    return m_runs < m_options.maxAttempts;
}

base::Outcome EndpointCall::outcome() const
{
    return m_options.rules.outcome(m_record);
}

} // namespace turmericplank::requests
