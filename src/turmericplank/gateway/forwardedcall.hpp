#pragma once

#include <optional>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/list_hook.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "turmericplank/forwarding/attempts.hpp"
#include "turmericplank/forwarding/eventcursor.hpp"
#include "turmericplank/gateway/collectedbody.hpp"
#include "turmericplank/gateway/forwarder.hpp"
#include "turmericplank/gateway/incarnationcheck.hpp"

namespace turmericplank::gateway {

using WaitingListHook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// @brief Whether calls of a route tolerate delay, since their latency objective is long.
bool isDeferrable(const routes::Route &route);

/// @brief The service of a route that a call goes to.
base::ServiceName chosenService(const routes::Route &route, const Call &call);

/// @brief Whether a caller concludes from the status that its call has not run.
bool impliesNotRun(int status);

/// @brief State of one attempt: a call sent to one endpoint.
struct CallAttempt
{
    std::uint64_t number = 0; ///< identifies late callbacks of earlier attempts
    routing::Choice choice;
    std::optional<PooledConnection> pooled;
    std::optional<ResponseHead> head;
    net::Headers headers;
    boost::intrusive_ptr<CollectedBody> body; ///< of a response that is forwarded as a whole; null before its first bytes
    forwarding::EventCursor events; ///< of a response whose events are forwarded as they arrive
    std::string softwareVersion; ///< of the endpoint
    net::ConnectionError connectionError = net::ConnectionError::None; ///< why there was no connection, or why it ended
    base::Time sentAt;
    base::Time firstEventAt;
    bool hasFirstEvent = false;
    bool isProof = false; ///< the parts of the prompt did not crash the endpoint
    bool isRelaying = false; ///< events are forwarded to the caller as they arrive
    bool wasReadingPaused = false; ///< for a slow caller, so that the endpoint may have cut off what stayed unread
};

/// @brief What the configuration says of a call when it arrives.
struct CallContext
{
    std::shared_ptr<const routes::RouteTable> routes; ///< keeps the others alive
    const routes::Route &route;
    const accounts::Account *account = nullptr; ///< null if the call has no key of an account, as on public routes
};

/// @brief Forwards one call to an endpoint, with retries, and its response to the caller.
class ForwardedCall : public boost::intrusive_ref_counter<ForwardedCall, boost::thread_unsafe_counter>, public WaitingListHook
{
public:
    ForwardedCall(Forwarder &forwarder, net::ExchangePointer exchange, Call call, CallContext context, const std::optional<CallLimits> &limits, base::Time now);
    ~ForwardedCall();

    /// @brief Starts the first attempt, or waits for an endpoint.
    void start();
    /// @brief Retries endpoint selection while the call is waiting.
    void retrySelection();
    /// @brief Ends the call without a response when the forwarder is destroyed.
    void abandon();
    /// @brief Logs that the call is cut off by the end of the process.
    void logCutOff() const;

    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> inProgressHook; ///< linked until the call has ended

private:
    using Pointer = boost::intrusive_ptr<ForwardedCall>;

    bool isResumption() const;
    void findOrigin();
    void resumeAtOnlyVersion();
    void resumeAt(const std::string &softwareVersion);
    void refuseResumption(std::string_view cause);
    bool isVersionServing(const std::string &softwareVersion) const;
    bool isServing(const base::EndpointId &endpoint) const;
    std::vector<requests::Fingerprint> refusedContents() const;
    bool isRefusedForCrashes() const;
    void recordSignOfLife(const CallAttempt &attempt) const;
    bool beginTrial();
    void selectEndpoint();
    void waitForEndpoint(forwarding::WaitCause cause);
    void waitForPauseEnd(base::Time pauseEnd);
    void applyEndpointNotices(const CallAttempt &attempt, const ResponseHead &head);
    forwarding::WaitCause missingWeightsCause() const;
    bool wouldAnswerTooLate(const routing::Choice &choice) const;
    void startAttempt(const routing::Choice &choice);
    void logResumption() const;
    void onConnection(std::uint64_t number, tl::expected<PooledConnection, AcquireError> pooled);
    bool dependsOnVersion() const;
    bool hasUsableConnection(const base::EndpointId &endpoint) const;
    void verifyConnection(std::uint64_t number, PooledConnection pooled);
    void handleVerification(std::uint64_t number, PooledConnection pooled, IncarnationCheck result);
    void sendRequest(const PooledConnection &pooled);
    AttemptHeaders attemptHeaders(base::Time now) const;
    base::Time silenceDeadline(const CallAttempt &attempt, base::Time now) const;
    base::Time handleSilence(std::uint64_t number);
    void startReplacement(base::Time now, bool isBudgetUsed);
    void dropSilentAttempt(forwarding::SendResult end);
    void returnToSilentAttempt(forwarding::SendResult end);
    void armOverlapTimer();
    CallAttempt *findAttempt(std::uint64_t number);
    bool isSilentAttempt(std::uint64_t number) const;
    routing::RouteRequest routeRequest() const;
    net::HeaderAction handleResponseHead(std::uint64_t number, int status, const net::Headers &headers);
    void handleBodyChunk(std::uint64_t number, std::string_view chunk);
    void collect(CallAttempt &attempt, std::string_view chunk);
    void keepOnly(std::uint64_t number);
    void startStream(base::Time now);
    void startPacing();
    void paceReading();
    void setReadingPaused(bool isPaused);
    void logSlowCaller() const;
    bool continuesStream(const CallAttempt &attempt) const;
    static bool isInsideEvent(const CallAttempt &attempt);
    void recordBreak(const CallAttempt &attempt);
    void handleAttemptEnd(std::uint64_t number, net::SendOutcome outcome);
    void recordEndpointLoss(const CallAttempt &attempt);
    void recordProof(CallAttempt &attempt);
    void recordAnswer() const;
    std::optional<forwarding::SendResult> failureOf(const CallAttempt &attempt, net::SendOutcome outcome) const;
    void relayCompleteResponse();
    void finishAttempt(forwarding::SendResult end);
    std::string promptText() const;
    void logAttemptEnd(const CallAttempt &attempt, forwarding::SendResult end, bool isRetryAllowed, std::string_view next) const;
    void reportAttemptEnd(const CallAttempt &attempt, routing::AttemptOutcome end);
    void recordPace();
    routing::AttemptOutcome routerOutcome(const CallAttempt &attempt, forwarding::SendResult end) const;
    void respondToCaller(net::HttpResponse response);
    void giveBackUse() const;
    void reject(RejectionReason reason);
    void rejectAfter(forwarding::NextStep step);
    bool isExpectedLate(const routing::Choice &choice, base::Time now) const;
    bool isLeftToOtherDaemons() const;
    bool forwardToPeer();
    void handlePeerHead(PeerForwardHead head);
    void handlePeerBody(std::string body);
    void handlePeerEnd(PeerForwardEnd end);
    bool endIfCallerLeft();
    std::string_view stage() const;
    void handleCallerDisconnect();
    void handleDeadline();
    void armDeadlineTimer();
    void finish(std::string_view outcome);
    void logEnd(std::string_view outcome, base::Time now) const;
    void releaseConnection(CallAttempt &attempt, bool isComplete);
    void abandonAttempts(routing::AttemptOutcome end);

    Forwarder &m_forwarder;
    std::shared_ptr<std::size_t> m_callsInProgress;
    net::ExchangePointer m_exchange;
    Call m_call;
    std::vector<requests::Fingerprint> m_contents; ///< the whole content first
    std::vector<requests::Fingerprint> m_parts; ///< of the prompt, without the last one
    std::shared_ptr<const routes::RouteTable> m_routes; ///< keeps m_route alive
    const routes::Route &m_route;
    const accounts::Account *m_account;
    base::ServiceName m_service;
    base::ModelName m_qualifiedModel;
    base::Time m_arrivedAt;
    base::Time m_firstAttemptAt; ///< of the caller, estimated
    bool m_mayYield = false; ///< the call's service has an order of calls by whether they are late
    bool m_isLate = false; ///< expected to be answered late, and so yields
    std::optional<base::Time> m_waitingSince;
    forwarding::WaitCause m_waitCause = forwarding::WaitCause::Full;
    std::optional<base::Time> m_pauseEnd; ///< when the first endpoint that asked for a pause takes calls again
    bool m_isEngine = false;
    base::Time m_firstEventAt;
    base::Time m_lastEventAt;
    base::Duration m_maxEventGap{0}; ///< longest time between two chunks of a stream, for the log
    forwarding::Attempts m_attempts;
    std::optional<std::uint64_t> m_lastEvent; ///< last event that the caller has received
    std::uint64_t m_events = 0; ///< events relayed to the caller
    int m_streamStatus = 0; ///< of the answer that began the stream
    bool m_isInsideEvent = false; ///< the endpoint that brought the last event broke off in the next one
    std::optional<std::string> m_softwareVersion; ///< at which the stream began, and must go on
    boost::asio::steady_timer m_deadlineTimer;
    std::optional<CallAttempt> m_attempt;
    /// Has been silent for too long, but may go on: it stays until the attempt that is to replace it, m_attempt, brings something.
    std::optional<CallAttempt> m_silentAttempt;
    boost::asio::steady_timer m_overlapTimer; ///< ends the silent attempt after the other one was accepted
    std::vector<base::EndpointId> m_excludedEndpoints; ///< endpoints of earlier attempts
    RejectionReason m_pendingRejection = RejectionReason::NoEndpoint;
    std::uint64_t m_attemptNumber = 0;
    std::shared_ptr<PeerForward> m_peerForward; ///< in progress
    std::optional<PeerForwardHead> m_peerHead;
    std::string m_peerBody; ///< of a response that is returned as a whole
    bool m_isFromPeer = false; ///< forwarded by another daemon, and so not to be forwarded again
    bool m_isForwarded = false; ///< has been forwarded to a peer
    bool m_isReadingPaused = false; ///< of the endpoint's response, or the peer's, since the caller has not read what was written to it
    bool m_wasReadingPaused = false; ///< at some time
    bool m_isStreaming = false; ///< the response head has been sent to the caller
    bool m_isTrial = false; ///< of a content that is refused otherwise
    bool m_isFinished = false;
};

struct Forwarder::CallList
    : boost::intrusive::list<ForwardedCall,
                             boost::intrusive::member_hook<ForwardedCall, decltype(ForwardedCall::inProgressHook), &ForwardedCall::inProgressHook>,
                             boost::intrusive::constant_time_size<false>>
{
};

} // namespace turmericplank::gateway
