#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "turmericplank/requests/admission.hpp"
#include "turmericplank/requests/bookingledger.hpp"
#include "turmericplank/requests/endpointcall.hpp"
#include "turmericplank/requests/retrybudget.hpp"
#include "turmericplank/requests/suspects.hpp"

namespace turmericplank::requests {

/// @brief How a call may be carried.
enum class CallKind {
    Model, ///< streamed from an engine; may be repeated and resumed
    Lookup, ///< idempotent call of a service
    Booking, ///< call of a service that may run at most once
};

/// @brief A caller's request as the dispatcher needs it; the shell keeps the bytes.
struct IncomingCall
{
    CallNumber call;
    base::RequestId id;
    CallKind kind = CallKind::Model;
    base::ModelName target; ///< model, adapter or service
    base::CallerName caller;
    base::Priority priority = base::Priority::Normal;
    base::Time deadline;
    Fingerprint fingerprint;
    std::shared_ptr<const std::string> prompt; ///< compact JSON of the messages, for the prefix cache
    std::string rowKey; ///< of a booking
    std::string bodyDigest; ///< of a booking
};

/// @brief What becomes of one call: toward its endpoint or its caller.
struct CallAction
{
    CallNumber call;
    EndpointCallAction payload;

    friend bool operator==(const CallAction &, const CallAction &) = default;
};

using DispatchAction = std::variant<CallAction, WriteRows, ReadRow, AskPeer, NotifyPeer, RequestSuspects>;
using DispatchActions = std::vector<DispatchAction>;

/// @brief Hooks and limits of a daemon's requests.
struct DispatcherOptions
{
    ChooseEndpoint choose;
    AttemptFeedback feedback;
    AdmissionOptions admission;
    BookingOptions bookings;
    SuspectOptions suspects;
    RetryBudgetOptions retries;
    EndpointCallRules callRules = endpointCallRules();
    base::Duration engineSilence = std::chrono::seconds(5); ///< first progress and silence of model calls
    base::Duration serviceSilence = std::chrono::seconds(10); ///< first progress of service calls
    base::Duration dispatchAgain = std::chrono::milliseconds(50); ///< between tries of a call that waits for its trial
    base::Duration comeBack = std::chrono::seconds(1); ///< when a refused caller may ask again
    base::Duration startAgain = std::chrono::milliseconds(200); ///< when a caller may ask a daemon again that has just started
    bool refusesWhileDraining = true;
};

/// @brief Carries all requests of one daemon: admission, endpoints, retries, bookings and suspects in one state machine.
///
/// It is pure: the shell, the fuzzing and the benchmark feed it the same events and carry out the same actions.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);
    ~Dispatcher();

    /// @brief A caller's request came.
    DispatchActions submit(const IncomingCall &arrival, base::Time now);
    /// @brief A caller closed before its answer ended.
    DispatchActions callerDisconnected(CallNumber call, base::Time now);
    /// @brief A piece of an attempt's answer came; a service's answer is one piece at offset 0, written by encode().
    DispatchActions piece(CallNumber call, base::Attempt attempt, std::uint64_t offset, std::string text, base::Time now);
    /// @brief An attempt ended.
    DispatchActions attemptEnded(CallNumber call, base::Attempt attempt, AttemptResult end, base::Time now);
    /// @brief A transaction ended.
    DispatchActions tableWritten(TableOperation operation, const store::WriteResult &result, base::Time now);
    /// @brief A read of a row ended.
    DispatchActions tableRead(TableOperation operation, const store::ReadResult &result, base::Time now);
    /// @brief Another daemon asks for a trial.
    /// @param reply receives what it is answered
    DispatchActions question(const base::DaemonId &from, const TrialQuestion &question, base::Time now, TrialReply &reply);
    /// @brief Another daemon answered a question.
    DispatchActions reply(const base::DaemonId &from, const TrialReply &reply, base::Time now);
    /// @brief Another daemon told of a suspect.
    void notificationReceived(const base::DaemonId &from, const SuspectNotification &notification, base::Time now);
    /// @brief Another daemon has just started and asks what is remembered of suspects.
    std::vector<SuspectNotification> suspectsRequested(const base::DaemonId &from);
    /// @brief What another daemon remembers of suspects.
    void suspectsReceived(const base::DaemonId &from, const std::vector<SuspectNotification> &notificationAcknowledged, base::Time now);
    /// @brief Another daemon has taken in what it was told.
    void notificationAcknowledged(const base::DaemonId &from, Fingerprint fingerprint);
    /// @brief Whatever is due; call it every few milliseconds.
    DispatchActions tick(base::Time now);

    /// @brief New requests are refused; those in progress go on.
    void startDraining();
    /// @brief Whether a call has not ended; a booking that was sent goes on when its caller closes.
    bool isInProgress(CallNumber call) const;
    /// @brief Calls without a final answer and bookings whose result is not stored yet.
    std::size_t inProgress() const;
    /// @brief What is remembered of suspects.
    const Suspects &suspects() const;

private:
    struct Call;

    Call *find(CallNumber call);
    EndpointCallOptions callOptions(const IncomingCall &arrival) const;
    void admit(const std::vector<AdmissionAction> &admission, base::Time now, DispatchActions &actions);
    void dispatch(Call &call, base::Time now, DispatchActions &actions);
    void dispatchClear(Call &call, base::Time now, DispatchActions &actions);
    void dispatchSuspect(Call &call, base::Time now, DispatchActions &actions);
    void waitForTrial(Call &call, base::Time now, DispatchActions &actions);
    void sendTo(Call &call, const EndpointChoice &choice, base::Time now, DispatchActions &actions);
    void apply(Call &call, EndpointCallActions calls, base::Time now, DispatchActions &actions);
    void apply(const BookingActions &bookings, base::Time now, DispatchActions &actions);
    void apply(const SuspectActions &suspects, base::Time now, DispatchActions &actions);
    void onSend(Call &call, base::Time now);
    void onChooseNext(Call &call, const ChooseNext &next, base::Time now, DispatchActions &actions);
    void onComplete(Call &call, base::Time now, DispatchActions &actions);
    void onFail(Call &call, const CallError &error, base::Time now, DispatchActions &actions);
    void grantTrial(const TrialGranted &granted, base::Time now, DispatchActions &actions);
    void endRun(Call &call, AttemptResult end, base::Time now);
    void endTrial(Call &call, bool isCleared, base::Time now, DispatchActions &actions);
    void giveUp(Call &call, ErrorCode code, std::optional<base::Time> retryAt, base::Time now, DispatchActions &actions);
    void finish(Call &call);
    void sweep(base::Time now, DispatchActions &actions);
    void emit(const Call &call, EndpointCallAction payload, DispatchActions &actions) const;
    ChoiceQuery query(const Call &call, bool isTrial) const;

    DispatcherOptions m_options;
    Admission m_admission;
    BookingLedger m_bookings;
    Suspects m_suspects;
    RetryBudget m_retries;
    std::unordered_map<CallNumber, std::unique_ptr<Call>> m_calls;
    std::map<Fingerprint, CallNumber> m_trials; ///< call that a trial was asked for
    std::vector<CallNumber> m_over;
    bool m_isDraining = false;
};

} // namespace turmericplank::requests
