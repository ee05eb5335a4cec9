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
    rules.mayRepeat = [](AttemptResult end) {
        return !mayHaveRun(end);
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
    m_wireId = m_options.id.text() + '-' + std::to_string(m_attempt.value());
    m_progressDeadline = now + m_options.firstProgress;
    m_isRunning = true;
    m_isResume = false;
    ++m_runs;
    m_record.begin();
    return {SendAttempt{m_attempt, m_choice, m_wireId, m_delivered, false}};
}

EndpointCallActions EndpointCall::resume(base::Time now)
{
    m_attempt = m_attempt.next();
    m_progressDeadline = now + m_options.firstProgress;
    m_isRunning = true;
    m_hasProgress = false;
    m_isResume = true;
    ++m_resumes;
    m_record.begin();
    return {SendAttempt{m_attempt, m_choice, m_wireId, m_delivered, true}};
}

EndpointCallActions EndpointCall::piece(base::Attempt attempt, std::uint64_t offset, std::string text, base::Time now)
{
    if (m_isOver || !m_isRunning || !m_options.rules.isCurrent(attempt, m_attempt)) {
        return {};
    }
    m_progressDeadline = now + m_options.silence;
    m_hasProgress = true;
    if (m_options.rules.isNext(offset, m_delivered)) {
        m_delivered = offset + 1;
        return {DeliverPiece{offset, std::move(text)}};
    }
    if (offset < m_delivered) {
        return {};
    }
    EndpointCallActions actions = {CancelAttempt{m_attempt, m_choice, m_wireId}};
    append(actions, attemptEnded(m_attempt, AttemptResult::Malformed, now));
    return actions;
}

EndpointCallActions EndpointCall::attemptEnded(base::Attempt attempt, AttemptResult end, base::Time now)
{
    if (m_isOver || !m_isRunning || !m_options.rules.isCurrent(attempt, m_attempt)) {
        return {};
    }
    const bool wasResume = m_isResume;
    finishAttempt(end);
    if (end == AttemptResult::Answered) {
        m_isOver = true;
        return {CompleteCall{}};
    }
    const bool isBroken = end == AttemptResult::Lost || end == AttemptResult::Silent;
    if (!m_options.isRepeatable && !m_options.rules.mayRepeat(end)) {
        EndpointCallActions actions;
        actions.emplace_back(ChooseNext{m_choice, end, isBroken});
        append(actions, giveUp(ErrorCode::CallOutcomeUnknown, std::nullopt));
        return actions;
    }
    if (m_options.canResume && isBroken && !wasResume && m_resumes < m_options.resumeLimit) {
        return resume(now);
    }
    return next(end, m_options.canResume ? end == AttemptResult::Lost || (wasResume && !m_hasProgress) : isBroken);
}

EndpointCallActions EndpointCall::next(AttemptResult end, bool isEndpointLost)
{
    return {ChooseNext{m_choice, end, isEndpointLost}};
}

EndpointCallActions EndpointCall::tick(base::Time now)
{
    if (m_isOver) {
        return {};
    }
    if (!m_isRunning) {
        return now >= m_deadline ? giveUp(ErrorCode::DeadlinePassed, std::nullopt) : EndpointCallActions();
    }
    if (now < m_progressDeadline || !m_options.rules.endsSilentAttempts) {
        return {};
    }
    EndpointCallActions actions;
    // The run itself is left alone where its stream may still be resumed.
    if (!m_options.canResume || m_isResume) {
        actions.emplace_back(CancelAttempt{m_attempt, m_choice, m_wireId});
    }
    append(actions, attemptEnded(m_attempt, AttemptResult::Silent, now));
    return actions;
}

EndpointCallActions EndpointCall::giveUp(ErrorCode code, std::optional<base::Time> retryAt)
{
    if (m_isOver) {
        return {};
    }
    auto actions = cancel();
    actions.emplace_back(FailCall{CallError{code, outcome(), retryAt}});
    return actions;
}

EndpointCallActions EndpointCall::cancel()
{
    if (m_isOver) {
        return {};
    }
    m_isOver = true;
    if (!m_isRunning) {
        return {};
    }
    finishAttempt(AttemptResult::Silent);
    EndpointCallActions actions = {CancelAttempt{m_attempt, m_choice, m_wireId}};
    if (m_isResume && !m_hasProgress) {
        actions.emplace_back(ChooseNext{m_choice, AttemptResult::Silent, true});
    }
    return actions;
}

void EndpointCall::finishAttempt(AttemptResult end)
{
    m_isRunning = false;
    m_record.finish(end);
}

bool EndpointCall::isOver() const
{
    return m_isOver;
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
    return m_runs < m_options.attemptLimit;
}

base::Outcome EndpointCall::outcome() const
{
    return m_options.rules.outcome(m_record);
}

} // namespace turmericplank::requests
