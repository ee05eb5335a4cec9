#include "dispatchercall.hpp"

#include <utility>

namespace turmericplank::requests {

Dispatcher::Dispatcher(DispatcherOptions options)
    : m_options(std::move(options))
    , m_admission(m_options.admission)
    , m_bookings(m_options.bookings)
    , m_suspects(m_options.suspects)
    , m_retries(m_options.retries)
{
}

Dispatcher::~Dispatcher() = default;

DispatchActions Dispatcher::submit(const IncomingCall &incoming, base::Time now)
{
    DispatchActions actions;
    auto &call = *m_calls.emplace(incoming.call, std::make_unique<Call>(incoming, callOptions(incoming))).first->second;
    const auto state = m_suspects.state(incoming.fingerprint, now);
    if (m_isDraining && m_options.rejectsWhileDraining) {
        giveUp(call, ErrorCode::Draining, now + m_options.retryDelay, now, actions);
    } else if (!m_suspects.isSynchronized()) {
        giveUp(call, ErrorCode::Starting, now + m_options.startingRetryDelay, now, actions);
    } else if (state == SuspectState::Blocked) {
        giveUp(call, ErrorCode::RequestCrashesEndpoints, m_suspects.expiresAt(incoming.fingerprint, now), now, actions);
    } else {
        const AdmissionRequest request{incoming.call, incoming.target, incoming.caller, incoming.priority, incoming.deadline};
        apply(m_admission.submit(request, now), now, actions);
    }
    eraseEnded(now, actions);
    return actions;
}

EndpointCallOptions Dispatcher::callOptions(const IncomingCall &incoming) const
{
    EndpointCallOptions options;
    options.id = incoming.id;
    options.isRepeatable = incoming.kind != RequestKind::Booking;
    options.canResume = incoming.kind == RequestKind::Model;
    options.firstPieceTimeout = incoming.kind == RequestKind::Model ? m_options.engineSilence : m_options.serviceSilence;
    options.pieceTimeout = options.firstPieceTimeout;
    options.rules = m_options.callRules;
    return options;
}

void Dispatcher::apply(const std::vector<AdmissionAction> &admission, base::Time now, DispatchActions &actions)
{
    for (const auto &it : admission) {
        if (const auto *start = std::get_if<StartCall>(&it)) {
            if (auto *call = find(start->call)) {
                dispatch(*call, now, actions);
            }
        } else if (const auto *rejection = std::get_if<RejectCall>(&it)) {
            if (auto *call = find(rejection->call)) {
                giveUp(*call, rejection->error.code, rejection->error.retryAt, now, actions);
            }
        }
    }
}

DispatchActions Dispatcher::callerDisconnected(CallNumber number, base::Time now)
{
    DispatchActions actions;
    auto *call = find(number);
    if (call == nullptr) {
        return actions;
    }
    // A booking that this daemon was allowed to send continues, so that its answer is stored when the caller retries.
    if (call->ownsBooking) {
        return actions;
    }
    m_bookings.withdraw(number, now);
    apply(*call, call->attempts.cancel(), now, actions);
    if (call->running && m_options.feedback.onCancelled) {
        m_options.feedback.onCancelled(*call->running, now);
    }
    if (std::exchange(call->running, std::nullopt)) {
        m_suspects.attemptEnded(call->incoming.fingerprint);
    }
    endTrial(*call, false, now, actions);
    finish(*call);
    eraseEnded(now, actions);
    return actions;
}

DispatchActions Dispatcher::piece(CallNumber number, base::Attempt attempt, std::uint64_t offset, std::string text, base::Time now)
{
    DispatchActions actions;
    if (auto *call = find(number)) {
        apply(*call, call->attempts.piece(attempt, offset, std::move(text), now), now, actions);
    }
    eraseEnded(now, actions);
    return actions;
}

DispatchActions Dispatcher::attemptEnded(CallNumber number, base::Attempt attempt, AttemptResult result, base::Time now)
{
    DispatchActions actions;
    if (auto *call = find(number)) {
        apply(*call, call->attempts.attemptEnded(attempt, result, now), now, actions);
    }
    eraseEnded(now, actions);
    return actions;
}

DispatchActions Dispatcher::tableWritten(TableOperation operation, const store::WriteResult &result, base::Time now)
{
    DispatchActions actions;
    apply(m_bookings.written(operation, result, now), now, actions);
    eraseEnded(now, actions);
    return actions;
}

DispatchActions Dispatcher::tableRead(TableOperation operation, const store::ReadResult &result, base::Time now)
{
    DispatchActions actions;
    apply(m_bookings.read(operation, result, now), now, actions);
    eraseEnded(now, actions);
    return actions;
}

DispatchActions Dispatcher::question(const base::DaemonId &from, const TrialQuestion &question, base::Time now, TrialReply &reply)
{
    DispatchActions actions;
    SuspectActions suspects;
    reply = m_suspects.onQuestion(from, question, now, suspects);
    apply(suspects, now, actions);
    eraseEnded(now, actions);
    return actions;
}

DispatchActions Dispatcher::reply(const base::DaemonId &from, const TrialReply &reply, base::Time now)
{
    DispatchActions actions;
    apply(m_suspects.onReply(from, reply, now), now, actions);
    eraseEnded(now, actions);
    return actions;
}

void Dispatcher::notificationReceived(const base::DaemonId &from, const SuspectNotification &notification, base::Time now)
{
    m_suspects.onNotification(from, notification, now);
}

std::vector<SuspectNotification> Dispatcher::suspectsRequested(const base::DaemonId &from)
{
    return m_suspects.onSuspectsRequested(from);
}

void Dispatcher::suspectsReceived(const base::DaemonId &from, const std::vector<SuspectNotification> &suspects, base::Time now)
{
    m_suspects.onSuspectsReceived(from, suspects, now);
}

void Dispatcher::notificationAcknowledged(const base::DaemonId &from, Fingerprint fingerprint)
{
    m_suspects.onAcknowledged(from, fingerprint);
}

DispatchActions Dispatcher::tick(base::Time now)
{
    DispatchActions actions;
    for (const auto &[number, call] : m_calls) {
        if (call->hasEnded) {
            continue;
        }
        apply(*call, call->attempts.tick(now), now, actions);
        if (call->isWaitingForTrial && !call->hasEnded && now >= call->dispatchAt) {
            dispatch(*call, now, actions);
        }
    }
    apply(m_bookings.tick(now), now, actions);
    apply(m_suspects.tick(now), now, actions);
    apply(m_admission.tick(now), now, actions);
    eraseEnded(now, actions);
    return actions;
}

void Dispatcher::startDraining()
{
    m_isDraining = true;
}

bool Dispatcher::isInProgress(CallNumber call) const
{
    return m_calls.contains(call);
}

std::size_t Dispatcher::inProgress() const
{
    return m_calls.size() + m_bookings.unsettled();
}

const Suspects &Dispatcher::suspects() const
{
    return m_suspects;
}

Dispatcher::Call *Dispatcher::find(CallNumber call)
{
    const auto it = m_calls.find(call);
    return it == m_calls.end() || it->second->hasEnded ? nullptr : it->second.get();
}

void Dispatcher::finish(Call &call)
{
    if (!std::exchange(call.hasEnded, true)) {
        m_ended.push_back(call.incoming.call);
    }
}

void Dispatcher::eraseEnded(base::Time now, DispatchActions &actions)
{
    while (!m_ended.empty()) {
        const auto ended = std::exchange(m_ended, {});
        for (const auto number : ended) {
            const bool wasAnswered = !m_calls.at(number)->answer.empty() || m_calls.at(number)->hasFirstPiece;
            m_calls.erase(number);
            apply(m_admission.finish(number, wasAnswered, now), now, actions);
        }
    }
}

} // namespace turmericplank::requests
