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

/// @brief Kind of a call; decides whether it may be repeated.
enum class RequestKind {
    Model, ///< streamed from an engine; may be repeated and resumed
    Lookup, ///< idempotent call to a service
    Booking, ///< call to a service that may run at most once
};

/// @brief What the dispatcher needs to know of a caller's request; the shell keeps its bytes.
struct IncomingCall
{
    CallNumber call;
    base::RequestId id;
    RequestKind kind = RequestKind::Model;
    base::ModelName target; ///< name of a model, an adapter or a service
    base::CallerName caller;
    base::Priority priority = base::Priority::Normal;
    base::Time deadline;
    Fingerprint fingerprint;
    std::shared_ptr<const std::string> prompt; ///< compact JSON of the messages, for the prefix cache
    std::string rowKey; ///< set for bookings
    std::string bodyDigest; ///< set for bookings
};

/// @brief An action for one call, toward its endpoint or its caller.
struct CallAction
{
    CallNumber call;
    EndpointCallAction payload;

    friend bool operator==(const CallAction &, const CallAction &) = default;
};

using DispatchAction = std::variant<CallAction, WriteRows, ReadRow, AskPeer, NotifyPeer, RequestSuspects>;
using DispatchActions = std::vector<DispatchAction>;

/// @brief Callbacks and limits of the dispatcher.
struct DispatcherOptions
{
    ChooseEndpoint choose;
    AttemptFeedback feedback;
    AdmissionOptions admission;
    BookingOptions bookings;
    SuspectOptions suspects;
    RetryBudgetOptions retries;
    EndpointCallRules callRules = endpointCallRules();
    base::Duration engineSilence = std::chrono::seconds(5); ///< timeout of model calls, to the first piece and between pieces
    base::Duration serviceSilence = std::chrono::seconds(10); ///< timeout of service calls, to the first piece and between pieces
    base::Duration trialRetryInterval = std::chrono::milliseconds(50); ///< between attempts to start the trial of a waiting call
    base::Duration retryDelay = std::chrono::seconds(1); ///< retry delay that rejected callers are told
    base::Duration startingRetryDelay = std::chrono::milliseconds(200); ///< retry delay that callers are told while the daemon is starting
    bool rejectsWhileDraining = true;
};

/// @brief State machine for all requests of a daemon: admission, endpoints, retries, bookings and suspects.
///
/// It does no I/O. The shell, the fuzz tests and the benchmark feed it events and perform the actions that it returns.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);
    ~Dispatcher();

    /// @brief Handles a caller's request.
    DispatchActions submit(const IncomingCall &incoming, base::Time now);
    /// @brief Handles a caller that disconnects before the end of its answer.
    DispatchActions callerDisconnected(CallNumber call, base::Time now);
    /// @brief Handles a piece of an attempt's answer; a service's answer is one piece at offset 0, in the form of encode().
    DispatchActions piece(CallNumber call, base::Attempt attempt, std::uint64_t offset, std::string text, base::Time now);
    /// @brief Handles the end of an attempt.
    DispatchActions attemptEnded(CallNumber call, base::Attempt attempt, AttemptResult result, base::Time now);
    /// @brief Handles the result of a transaction.
    DispatchActions tableWritten(TableOperation operation, const store::WriteResult &result, base::Time now);
    /// @brief Handles the result of a read.
    DispatchActions tableRead(TableOperation operation, const store::ReadResult &result, base::Time now);
    /// @brief Handles another daemon's question whether it may run a trial.
    /// @param reply set to the reply
    DispatchActions question(const base::DaemonId &from, const TrialQuestion &question, base::Time now, TrialReply &reply);
    /// @brief Handles another daemon's reply to a question.
    DispatchActions reply(const base::DaemonId &from, const TrialReply &reply, base::Time now);
    /// @brief Handles another daemon's notification of a suspect.
    void notificationReceived(const base::DaemonId &from, const SuspectNotification &notification, base::Time now);
    /// @brief Handles the request of a daemon that has just started and returns all suspects known here.
    std::vector<SuspectNotification> suspectsRequested(const base::DaemonId &from);
    /// @brief Handles the suspects known to another daemon.
    void suspectsReceived(const base::DaemonId &from, const std::vector<SuspectNotification> &suspects, base::Time now);
    /// @brief Handles another daemon's acknowledgement of a notification.
    void notificationAcknowledged(const base::DaemonId &from, Fingerprint fingerprint);
    /// @brief Performs everything that is due; to be called every few milliseconds.
    DispatchActions tick(base::Time now);

    /// @brief Rejects new requests from now on; those in progress continue.
    void startDraining();
    /// @brief Whether a call is in progress; a booking that was sent continues after its caller disconnects.
    bool isInProgress(CallNumber call) const;
    /// @brief Number of calls without a final answer plus bookings whose result is not stored yet.
    std::size_t inProgress() const;
    /// @brief Suspects known to this daemon.
    const Suspects &suspects() const;

private:
    struct Call;

    Call *find(CallNumber call);
    EndpointCallOptions callOptions(const IncomingCall &incoming) const;
    void apply(const std::vector<AdmissionAction> &admission, base::Time now, DispatchActions &actions);
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
    void onTrialGranted(const TrialGranted &granted, base::Time now, DispatchActions &actions);
    void endRun(Call &call, AttemptResult result, base::Time now);
    void endTrial(Call &call, bool isCleared, base::Time now, DispatchActions &actions);
    void giveUp(Call &call, ErrorCode code, std::optional<base::Time> retryAt, base::Time now, DispatchActions &actions);
    void finish(Call &call);
    void eraseEnded(base::Time now, DispatchActions &actions);
    void emit(const Call &call, EndpointCallAction payload, DispatchActions &actions) const;
    ChoiceQuery makeQuery(const Call &call, bool isTrial) const;

    DispatcherOptions m_options;
    Admission m_admission;
    BookingLedger m_bookings;
    Suspects m_suspects;
    RetryBudget m_retries;
    std::unordered_map<CallNumber, std::unique_ptr<Call>> m_calls;
    std::map<Fingerprint, CallNumber> m_trials; ///< call for which a trial was requested
    std::vector<CallNumber> m_ended; ///< calls to erase
    bool m_isDraining = false;
};

} // namespace turmericplank::requests
