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

DispatchActions Dispatcher::submit(const IncomingCall &arrival, base::Time now)
{
    DispatchActions actions;
    auto &call = *m_calls.emplace(arrival.call, std::make_unique<Call>(arrival, callOptions(arrival))).first->second;
    const auto standing = m_suspects.standing(arrival.fingerprint, now);
    if (m_isDraining && m_options.refusesWhileDraining) {
        giveUp(call, ErrorCode::Draining, now + m_options.comeBack, now, actions);
    } else if (!m_suspects.isInformed()) {
        giveUp(call, ErrorCode::Starting, now + m_options.startAgain, now, actions);
    } else if (standing == Standing::Condemned) {
        giveUp(call, ErrorCode::RequestCrashesEndpoints, m_suspects.until(arrival.fingerprint, now), now, actions);
    } else {
        const AdmissionRequest request{arrival.call, arrival.target, arrival.caller, arrival.priority, arrival.deadline};
        admit(m_admission.submit(request, now), now, actions);
    }
    sweep(now, actions);
    return actions;
}

EndpointCallOptions Dispatcher::callOptions(const IncomingCall &arrival) const
{
    EndpointCallOptions options;
    options.id = arrival.id;
    options.isRepeatable = arrival.kind != CallKind::Booking;
    options.canResume = arrival.kind == CallKind::Model;
    options.firstProgress = arrival.kind == CallKind::Model ? m_options.engineSilence : m_options.serviceSilence;
    options.silence = options.firstProgress;
    options.rules = m_options.callRules;
    return options;
}

void Dispatcher::admit(const std::vector<AdmissionAction> &admission, base::Time now, DispatchActions &actions)
{
    for (const auto &it : admission) {
        if (const auto *start = std::get_if<StartCall>(&it)) {
            if (auto *call = find(start->call)) {
                dispatch(*call, now, actions);
            }
        } else if (const auto *refusal = std::get_if<RefuseCall>(&it)) {
            if (auto *call = find(refusal->call)) {
                giveUp(*call, refusal->error.code, refusal->error.retryAt, now, actions);
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
    // A booking that was sent goes on, so that its answer is there when the caller asks again.
    if (call->isGranted) {
        return actions;
    }
    m_bookings.withdraw(number, now);
    apply(*call, call->attempts.cancel(), now, actions);
    if (call->running && m_options.feedback.onCancelled) {
        m_options.feedback.onCancelled(*call->running, now);
    }
    if (std::exchange(call->running, std::nullopt)) {
        m_suspects.attemptEnded(call->arrival.fingerprint);
    }
    endTrial(*call, false, now, actions);
    finish(*call);
    sweep(now, actions);
    return actions;
}

DispatchActions Dispatcher::piece(CallNumber number, base::Attempt attempt, std::uint64_t offset, std::string text, base::Time now)
{
    DispatchActions actions;
    if (auto *call = find(number)) {
        apply(*call, call->attempts.piece(attempt, offset, std::move(text), now), now, actions);
    }
    sweep(now, actions);
    return actions;
}

DispatchActions Dispatcher::attemptEnded(CallNumber number, base::Attempt attempt, AttemptResult end, base::Time now)
{
    DispatchActions actions;
    if (auto *call = find(number)) {
        apply(*call, call->attempts.attemptEnded(attempt, end, now), now, actions);
    }
    sweep(now, actions);
    return actions;
}

DispatchActions Dispatcher::tableWritten(TableOperation operation, const store::WriteResult &result, base::Time now)
{
    DispatchActions actions;
    apply(m_bookings.written(operation, result, now), now, actions);
    sweep(now, actions);
    return actions;
}

DispatchActions Dispatcher::tableRead(TableOperation operation, const store::ReadResult &result, base::Time now)
{
    DispatchActions actions;
    apply(m_bookings.read(operation, result, now), now, actions);
    sweep(now, actions);
    return actions;
}

DispatchActions Dispatcher::question(const base::DaemonId &from, const TrialQuestion &question, base::Time now, TrialReply &reply)
{
    DispatchActions actions;
    SuspectActions suspects;
    reply = m_suspects.onQuestion(from, question, now, suspects);
    apply(suspects, now, actions);
    sweep(now, actions);
    return actions;
}

DispatchActions Dispatcher::reply(const base::DaemonId &from, const TrialReply &reply, base::Time now)
{
    DispatchActions actions;
    apply(m_suspects.onReply(from, reply, now), now, actions);
    sweep(now, actions);
    return actions;
}

void Dispatcher::notificationReceived(const base::DaemonId &from, const SuspectNotification &notification, base::Time now)
{
    m_suspects.onNotification(from, notification, now);
}

std::vector<SuspectNotification> Dispatcher::suspectsRequested(const base::DaemonId &from)
{
    return m_suspects.onSuspectsAsked(from);
}

void Dispatcher::suspectsReceived(const base::DaemonId &from, const std::vector<SuspectNotification> &suspects, base::Time now)
{
    m_suspects.onSuspects(from, suspects, now);
}

void Dispatcher::notificationAcknowledged(const base::DaemonId &from, Fingerprint fingerprint)
{
    m_suspects.onTold(from, fingerprint);
}

DispatchActions Dispatcher::tick(base::Time now)
{
    DispatchActions actions;
    for (const auto &[number, call] : m_calls) {
        if (call->isOver) {
            continue;
        }
        apply(*call, call->attempts.tick(now), now, actions);
        if (call->isWaiting && !call->isOver && now >= call->dispatchAt) {
            dispatch(*call, now, actions);
        }
    }
    apply(m_bookings.tick(now), now, actions);
    apply(m_suspects.tick(now), now, actions);
    admit(m_admission.tick(now), now, actions);
    sweep(now, actions);
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
    return it == m_calls.end() || it->second->isOver ? nullptr : it->second.get();
}

void Dispatcher::finish(Call &call)
{
    if (!std::exchange(call.isOver, true)) {
        m_over.push_back(call.arrival.call);
    }
}

void Dispatcher::sweep(base::Time now, DispatchActions &actions)
{
    while (!m_over.empty()) {
        const auto over = std::exchange(m_over, {});
        for (const auto number : over) {
            const bool wasAnswered = !m_calls.at(number)->answer.empty() || m_calls.at(number)->hasFirstPiece;
            m_calls.erase(number);
            admit(m_admission.finish(number, wasAnswered, now), now, actions);
        }
    }
}

} // namespace turmericplank::requests
