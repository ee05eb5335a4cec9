#include "dispatchercall.hpp"

#include <algorithm>
#include <utility>

namespace turmericplank::requests {

ChoiceQuery Dispatcher::makeQuery(const Call &call, bool isTrial) const
{
    ChoiceQuery query;
    query.request = call.incoming.id;
    query.model = call.incoming.target;
    query.priority = call.incoming.priority;
    query.deadline = call.incoming.deadline;
    query.prompt = call.incoming.prompt;
    query.isService = call.incoming.kind != RequestKind::Model;
    query.isTrial = isTrial;
    if (isTrial) {
        query.avoid = m_suspects.endpointsToAvoid(call.incoming.fingerprint);
    }
    const auto &last = call.attempts.lastEndpoint();
    if (!last.isEmpty() && std::find(query.avoid.begin(), query.avoid.end(), last) == query.avoid.end()) {
        query.avoid.push_back(last);
    }
    return query;
}

void Dispatcher::dispatch(Call &call, base::Time now, DispatchActions &actions)
{
    call.isWaitingForTrial = false;
    const auto fingerprint = call.incoming.fingerprint;
    switch (m_suspects.state(fingerprint, now)) {
    case SuspectState::Blocked:
        giveUp(call, ErrorCode::RequestCrashesEndpoints, m_suspects.expiresAt(fingerprint, now), now, actions);
        return;
    case SuspectState::Suspect:
        dispatchSuspect(call, now, actions);
        return;
    case SuspectState::Clear:
        dispatchClear(call, now, actions);
        return;
    }
}

void Dispatcher::dispatchClear(Call &call, base::Time now, DispatchActions &actions)
{
    if (call.incoming.kind == RequestKind::Booking && !call.ownsBooking) {
        apply(m_bookings.submit(BookingRequest{call.incoming.call, call.incoming.rowKey, call.incoming.bodyDigest, call.incoming.deadline}, now), now, actions);
        return;
    }
    const auto choice = m_options.choose(makeQuery(call, false), now);
    if (!choice) {
        giveUp(call, ErrorCode::NoEndpoint, now + m_options.retryDelay, now, actions);
        return;
    }
    sendTo(call, *choice, now, actions);
}

void Dispatcher::dispatchSuspect(Call &call, base::Time now, DispatchActions &actions)
{
    const auto fingerprint = call.incoming.fingerprint;
    const auto choice = m_suspects.hasTrial(fingerprint) ? std::nullopt : m_options.choose(makeQuery(call, true), now);
    if (!choice) {
        waitForTrial(call, now, actions);
        return;
    }
    call.trial = choice;
    m_trials[fingerprint] = call.incoming.call;
    apply(m_suspects.requestTrial(fingerprint, choice->endpoint, now), now, actions);
}

void Dispatcher::waitForTrial(Call &call, base::Time now, DispatchActions &actions)
{
    // A request that never ran is rejected at once. One that was interrupted keeps its caller waiting.
    if (call.attempts.outcome() == base::Outcome::NotRun && !call.ownsBooking) {
        giveUp(call, ErrorCode::SuspectOnTrial, now + m_options.retryDelay, now, actions);
        return;
    }
    call.isWaitingForTrial = true;
    call.dispatchAt = now + m_options.trialRetryInterval;
}

void Dispatcher::onTrialGranted(const TrialGranted &granted, base::Time now, DispatchActions &actions)
{
    const auto it = m_trials.find(granted.fingerprint);
    auto *call = it == m_trials.end() ? nullptr : find(it->second);
    if (call == nullptr || !call->trial) {
        apply(m_suspects.trialEnded(granted.fingerprint, false, now), now, actions);
        return;
    }
    if (call->incoming.kind == RequestKind::Booking && !call->ownsBooking) {
        dispatchClear(*call, now, actions);
        return;
    }
    sendTo(*call, *call->trial, now, actions);
}

void Dispatcher::sendTo(Call &call, const EndpointChoice &choice, base::Time now, DispatchActions &actions)
{
    if (now >= call.incoming.deadline) {
        giveUp(call, ErrorCode::DeadlinePassed, std::nullopt, now, actions);
        return;
    }
    call.running = choice;
    apply(call, call.attempts.send(choice, now), now, actions);
}

void Dispatcher::apply(Call &call, EndpointCallActions calls, base::Time now, DispatchActions &actions)
{
    for (auto &it : calls) {
        if (auto *send = std::get_if<SendAttempt>(&it)) {
            if (!send->isResume) {
                onSend(call, now);
            }
            emit(call, std::move(it), actions);
        } else if (const auto *next = std::get_if<ChooseNext>(&it)) {
            onChooseNext(call, *next, now, actions);
        } else if (std::holds_alternative<CompleteCall>(it)) {
            onComplete(call, now, actions);
        } else if (const auto *fail = std::get_if<FailCall>(&it)) {
            onFail(call, fail->error, now, actions);
        } else if (auto *piece = std::get_if<DeliverPiece>(&it)) {
            if (!std::exchange(call.hasFirstPiece, true) && call.running && m_options.feedback.onFirstPiece) {
                m_options.feedback.onFirstPiece(*call.running, now);
            }
            if (call.incoming.kind == RequestKind::Booking) {
                call.answer = piece->text;
            }
            emit(call, std::move(it), actions);
        } else {
            emit(call, std::move(it), actions);
        }
    }
}

void Dispatcher::onSend(Call &call, base::Time now)
{
    m_suspects.attemptStarted(call.incoming.fingerprint);
    if (m_options.feedback.onSent) {
        m_options.feedback.onSent(makeQuery(call, call.trial.has_value()), *call.running, now);
    }
}

void Dispatcher::onChooseNext(Call &call, const ChooseNext &next, base::Time now, DispatchActions &actions)
{
    const auto fingerprint = call.incoming.fingerprint;
    endRun(call, next.result, now);
    // A timeout of a service makes a request a suspect, but the service may only be slow: its timeouts alone never block one.
    const bool isSilentService = next.result == AttemptResult::Silent && call.incoming.kind != RequestKind::Model;
    if (next.isEndpointLost && !(isSilentService && m_suspects.state(fingerprint, now) != SuspectState::Clear)) {
        call.trial.reset();
        m_trials.erase(fingerprint);
        apply(m_suspects.endpointLost(fingerprint, {next.previous.endpoint, next.previous.incarnation}, now), now, actions);
    } else {
        endTrial(call, false, now, actions);
    }
    // An unrepeatable call ends with the error that follows in its actions.
    if (call.hasEnded || call.attempts.hasEnded()) {
        return;
    }
    if (now >= call.incoming.deadline) {
        giveUp(call, ErrorCode::DeadlinePassed, std::nullopt, now, actions);
        return;
    }
    if (!call.attempts.hasAttemptsLeft()) {
        giveUp(call, ErrorCode::EndpointsFailed, now + m_options.retryDelay, now, actions);
        return;
    }
    // The retry budget does not apply to suspects, whose trials are limited to one at a time on each endpoint.
    if (m_suspects.state(fingerprint, now) == SuspectState::Clear && !m_retries.tryRetry(now)) {
        giveUp(call, ErrorCode::RetryBudgetSpent, m_retries.retryAt(now), now, actions);
        return;
    }
    dispatch(call, now, actions);
}

void Dispatcher::onComplete(Call &call, base::Time now, DispatchActions &actions)
{
    endRun(call, AttemptResult::Answered, now);
    endTrial(call, true, now, actions);
    m_retries.succeeded(now);
    if (call.incoming.kind == RequestKind::Booking) {
        const auto answer = decodeAnswer(call.answer);
        apply(m_bookings.answered(call.incoming.call, answer.value_or(StoredAnswer()), now), now, actions);
    }
    emit(call, CompleteCall{}, actions);
    finish(call);
}

void Dispatcher::onFail(Call &call, const CallError &error, base::Time now, DispatchActions &actions)
{
    endRun(call, AttemptResult::Silent, now);
    endTrial(call, false, now, actions);
    if (call.ownsBooking) {
        apply(m_bookings.failed(call.incoming.call, error, now), now, actions);
    } else {
        m_bookings.withdraw(call.incoming.call, now);
    }
    emit(call, FailCall{error}, actions);
    finish(call);
}

void Dispatcher::endRun(Call &call, AttemptResult result, base::Time now)
{
    const auto running = std::exchange(call.running, std::nullopt);
    if (!running) {
        return;
    }
    m_suspects.attemptEnded(call.incoming.fingerprint);
    if (m_options.feedback.onEnded) {
        m_options.feedback.onEnded(*running, result, now);
    }
}

void Dispatcher::endTrial(Call &call, bool isCleared, base::Time now, DispatchActions &actions)
{
    if (!std::exchange(call.trial, std::nullopt)) {
        return;
    }
    m_trials.erase(call.incoming.fingerprint);
    apply(m_suspects.trialEnded(call.incoming.fingerprint, isCleared, now), now, actions);
}

void Dispatcher::apply(const BookingActions &bookings, base::Time now, DispatchActions &actions)
{
    for (const auto &it : bookings) {
        if (const auto *send = std::get_if<SendBooking>(&it)) {
            if (auto *call = find(send->call)) {
                call->ownsBooking = true;
                if (call->trial) {
                    sendTo(*call, *call->trial, now, actions);
                } else {
                    dispatchClear(*call, now, actions);
                }
            } else {
                apply(m_bookings.failed(send->call, CallError{}, now), now, actions);
            }
        } else if (const auto *replay = std::get_if<ReplayAnswer>(&it)) {
            if (auto *call = find(replay->call)) {
                call->attempts.cancel();
                endTrial(*call, false, now, actions);
                emit(*call, DeliverPiece{0, encode(replay->answer)}, actions);
                emit(*call, CompleteCall{}, actions);
                finish(*call);
            }
        } else if (const auto *reject = std::get_if<RejectBooking>(&it)) {
            if (auto *call = find(reject->call)) {
                call->attempts.cancel();
                endTrial(*call, false, now, actions);
                emit(*call, FailCall{reject->error}, actions);
                finish(*call);
            }
        } else if (const auto *write = std::get_if<WriteRows>(&it)) {
            actions.emplace_back(*write);
        } else if (const auto *read = std::get_if<ReadRow>(&it)) {
            actions.emplace_back(*read);
        }
    }
}

void Dispatcher::apply(const SuspectActions &suspects, base::Time now, DispatchActions &actions)
{
    for (const auto &it : suspects) {
        if (const auto *ask = std::get_if<AskPeer>(&it)) {
            actions.emplace_back(*ask);
        } else if (const auto *notify = std::get_if<NotifyPeer>(&it)) {
            actions.emplace_back(*notify);
        } else if (const auto *request = std::get_if<RequestSuspects>(&it)) {
            actions.emplace_back(*request);
        } else if (const auto *granted = std::get_if<TrialGranted>(&it)) {
            onTrialGranted(*granted, now, actions);
        } else if (const auto *denied = std::get_if<TrialDenied>(&it)) {
            const auto asked = m_trials.find(denied->fingerprint);
            auto *call = asked == m_trials.end() ? nullptr : find(asked->second);
            if (call == nullptr) {
                continue;
            }
            m_trials.erase(asked);
            call->trial.reset();
            if (denied->state == SuspectState::Blocked) {
                giveUp(*call, ErrorCode::RequestCrashesEndpoints, m_suspects.expiresAt(denied->fingerprint, now), now, actions);
            } else {
                waitForTrial(*call, now, actions);
            }
        }
    }
}

void Dispatcher::giveUp(Call &call, ErrorCode code, std::optional<base::Time> retryAt, base::Time now, DispatchActions &actions)
{
    apply(call, call.attempts.giveUp(code, retryAt), now, actions);
}

void Dispatcher::emit(const Call &call, EndpointCallAction payload, DispatchActions &actions) const
{
    actions.emplace_back(CallAction{call.incoming.call, std::move(payload)});
}

} // namespace turmericplank::requests
