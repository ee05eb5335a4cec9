#pragma once

#include <unordered_map>

#include "callersession.hpp"
#include "endpointattempt.hpp"
#include "turmericplank/daemon/requestsshell.hpp"
#include "turmericplank/requests/callerheaders.hpp"
#include "turmericplank/requests/chatbody.hpp"
#include "turmericplank/requests/messages.hpp"
#include "turmericplank/requests/servicebalancer.hpp"

namespace turmericplank::daemon {

/// @brief State of the shell; callbacks of calls in progress hold weak pointers to it.
struct RequestsShell::Parts : std::enable_shared_from_this<RequestsShell::Parts>
{
    /// @brief Connections of one request to its caller and to endpoints.
    struct Session
    {
        std::unique_ptr<CallerSession> caller;
        std::optional<requests::ChatBody> chat;
        net::HttpRequest request; ///< request to send to a service
        base::Priority priority = base::Priority::Normal;
        base::RequestId id;
        base::Time arrivedAt;
        EndpointAttempt::Pointer current;
        EndpointAttempt::Pointer previous; ///< connection before a stream was resumed; open until the next attempt, since closing it cancels the run
        bool hasFirstPiece = false;
    };

    Parts(Environment &sharedEnvironment, RequestsShellOptions shellOptions);

    void addRoutes();
    void addPeerHandlers();
    void startTicking();

    void handleModelCall(const net::ExchangePointer &exchange);
    void handleServiceCall(const net::ExchangePointer &exchange);
    bool isKnownModel(const base::ModelName &name) const;
    std::optional<requests::CallerHeaders> readHeaders(const net::ExchangePointer &exchange) const;
    void submitCall(requests::IncomingCall incoming, const requests::CallerHeaders &headers, Session session, const net::ExchangePointer &exchange);

    requests::DispatcherOptions dispatcherOptions();
    std::optional<requests::EndpointChoice> chooseInstance(const requests::ChoiceQuery &query, base::Time now);

    void perform(const requests::DispatchActions &actions);
    void performCall(const requests::CallAction &action);
    void sendAttempt(requests::CallNumber call, Session &session, const requests::SendAttempt &send);
    net::HttpRequest attemptRequest(const Session &session, const requests::SendAttempt &send) const;
    void cancelAttempt(Session &session, const requests::CancelAttempt &cancel);
    void fail(requests::CallNumber call, const requests::CallError &error);
    void complete(requests::CallNumber call);
    void onCallerDisconnected(requests::CallNumber call);
    void callPeer(const base::DaemonId &to, const std::string &kind, std::string body, std::function<void(const std::string &)> onAnswer);
    requests::MessageHeader messageHeader() const;
    void tick();

    Environment &environment;
    RequestsShellOptions options;
    requests::ServiceBalancer services;
    std::unique_ptr<requests::Dispatcher> dispatcher;
    std::unordered_map<requests::CallNumber, Session> sessions;
    requests::CallNumber lastCall;
    std::string requestIdPrefix;
    base::Time nextKeepAliveAt;
};

/// @brief Converts an error of the dispatcher to the content of a response.
ErrorBody errorBody(const requests::CallError &error);

} // namespace turmericplank::daemon
