#include <algorithm>
#include <utility>

#include "requestsparts.hpp"
#include "turmericplank/telemetry/decisionlog.hpp"

namespace turmericplank::daemon {

namespace {

using telemetry::LogLevel;

std::string errorMessage(requests::ErrorCode code)
{
    std::string text(toString(code));
    std::replace(text.begin(), text.end(), '_', ' ');
    return text;
}

std::string_view resultName(requests::AttemptResult result)
{
    switch (result) {
    case requests::AttemptResult::NotSent:
        return "not_sent";
    case requests::AttemptResult::Refused:
        return "refused";
    case requests::AttemptResult::Answered:
        return "answered";
    case requests::AttemptResult::Lost:
        return "lost";
    case requests::AttemptResult::Silent:
        return "silent";
    case requests::AttemptResult::Malformed:
        return "malformed";
    }
    return "lost";
}

} // namespace

ErrorBody errorBody(const requests::CallError &error)
{
    return ErrorBody{httpStatus(error.code), std::string(toString(error.code)), error.outcome, errorMessage(error.code), error.retryAt, {}};
}

void RequestsShell::Parts::perform(const requests::DispatchActions &actions)
{
    const auto weak = weak_from_this();
    for (const auto &it : actions) {
        if (const auto *call = std::get_if<requests::CallAction>(&it)) {
            performCall(*call);
        } else if (const auto *write = std::get_if<requests::WriteRows>(&it)) {
            environment.metrics.count("requests_table_transactions_total");
            environment.table.transact(write->writes, [weak, operation = write->operation](const store::WriteResult &result) {
                if (const auto parts = weak.lock()) {
                    parts->perform(parts->dispatcher->tableWritten(operation, result, base::now()));
                }
            });
        } else if (const auto *read = std::get_if<requests::ReadRow>(&it)) {
            environment.table.readPrefix(read->key, [weak, operation = read->operation](const store::ReadResult &result) {
                if (const auto parts = weak.lock()) {
                    parts->perform(parts->dispatcher->tableRead(operation, result, base::now()));
                }
            });
        } else if (const auto *ask = std::get_if<requests::AskPeer>(&it)) {
            callPeer(ask->to, "requests/question", encode(requests::TrialQuestionMessage{messageHeader(), ask->question}),
                     [this, from = ask->to](const std::string &body) {
                         if (const auto message = requests::decodeMessage<requests::TrialReplyMessage>(body)) {
                             perform(dispatcher->reply(from, message->reply, base::now()));
                         }
                     });
        } else if (const auto *tell = std::get_if<requests::NotifyPeer>(&it)) {
            const auto fingerprint = tell->notification.fingerprint;
            callPeer(tell->to, "requests/tell", encode(requests::SuspectsMessage{messageHeader(), {tell->notification}}),
                     [this, from = tell->to, fingerprint](const std::string &) { dispatcher->notificationAcknowledged(from, fingerprint); });
        } else if (const auto *list = std::get_if<requests::RequestSuspects>(&it)) {
            callPeer(list->to, "requests/suspects", encode(requests::SuspectsMessage{messageHeader(), {}}), [this, from = list->to](const std::string &body) {
                if (const auto message = requests::decodeMessage<requests::SuspectsMessage>(body)) {
                    dispatcher->suspectsReceived(from, message->suspects, base::now());
                }
            });
        }
    }
}

void RequestsShell::Parts::performCall(const requests::CallAction &action)
{
    const auto it = sessions.find(action.call);
    if (it == sessions.end()) {
        return;
    }
    auto &session = it->second;
    if (const auto *send = std::get_if<requests::SendAttempt>(&action.payload)) {
        sendAttempt(action.call, session, *send);
    } else if (const auto *cancel = std::get_if<requests::CancelAttempt>(&action.payload)) {
        cancelAttempt(session, *cancel);
    } else if (const auto *piece = std::get_if<requests::DeliverPiece>(&action.payload)) {
        if (!std::exchange(session.hasFirstPiece, true)) {
            environment.metrics.observe("requests_first_piece_seconds", base::inMilliseconds(base::now() - session.arrivedAt) / 1000);
        }
        if (session.caller) {
            session.caller->deliver(*piece);
        }
    } else if (std::holds_alternative<requests::CompleteCall>(action.payload)) {
        complete(action.call);
    } else if (const auto *failure = std::get_if<requests::FailCall>(&action.payload)) {
        fail(action.call, failure->error);
    }
}

void RequestsShell::Parts::sendAttempt(requests::CallNumber call, Session &session, const requests::SendAttempt &send)
{
    telemetry::logDecision("requests", send.isResume ? "resumed stream" : "sent attempt",
                           {{"request", session.id.text()},
                            {"attempt", send.attempt.value()},
                            {"endpoint", send.choice.endpoint.text()},
                            {"offset", send.offset},
                            {"revision", options.revision ? options.revision().value() : 0}});
    EndpointAttemptOptions attempt;
    attempt.to = send.choice.address;
    attempt.request = attemptRequest(session, send);
    attempt.isStream = session.chat.has_value();
    attempt.progressTimeout = attempt.isStream ? options.engineSilence : options.serviceSilence;
    const auto weak = weak_from_this();
    attempt.onChunk = [weak, call, number = send.attempt](std::uint64_t offset, std::string text) {
        if (const auto parts = weak.lock()) {
            parts->perform(parts->dispatcher->piece(call, number, offset, std::move(text), base::now()));
        }
    };
    attempt.onEnd = [weak, call, number = send.attempt, id = session.id](requests::AttemptResult result) {
        if (const auto parts = weak.lock()) {
            telemetry::log(LogLevel::Debug, "requests", "attempt ended", {{"request", id.text()}, {"attempt", number.value()}, {"end", resultName(result)}});
            parts->perform(parts->dispatcher->attemptEnded(call, number, result, base::now()));
        }
    };
    if (session.previous) {
        session.previous->cancel();
    }
    session.previous = std::exchange(session.current, EndpointAttempt::start(environment.context, std::move(attempt)));
    if (session.previous && !send.isResume) {
        session.previous->cancel();
        session.previous.reset();
    }
}

net::HttpRequest RequestsShell::Parts::attemptRequest(const Session &session, const requests::SendAttempt &send) const
{
    if (!session.chat) {
        auto request = session.request;
        request.headers.push_back({"X-Request-Id", send.runId});
        return request;
    }
    if (send.isResume) {
        return {"GET", "/v1/streams/" + send.runId + "?from=" + std::to_string(send.offset), {}, {}};
    }
    return {"POST",
            "/v1/chat/completions",
            {{"Content-Type", "application/json"}, {"X-Request-Id", send.runId}, {"X-Priority", std::string(toString(session.priority))}},
            endpointBody(*session.chat, send.offset)};
}

void RequestsShell::Parts::cancelAttempt(Session &session, const requests::CancelAttempt &cancel)
{
    if (session.current) {
        session.current->cancel();
        session.current.reset();
    }
    if (!session.chat) {
        return;
    }
    net::HttpCallOptions call;
    call.to = cancel.choice.address;
    call.request = {"DELETE", "/v1/streams/" + cancel.runId, {}, {}};
    call.responseHeaderTimeout = std::chrono::seconds(1);
    net::startCall(environment.context, std::move(call));
}

void RequestsShell::Parts::complete(requests::CallNumber call)
{
    auto &session = sessions.at(call);
    const auto took = base::now() - session.arrivedAt;
    environment.metrics.count("requests_total{outcome=\"answered\"}");
    environment.metrics.observe("requests_seconds", base::inMilliseconds(took) / 1000);
    telemetry::logDecision("requests", "answered", {{"request", session.id.text()}, {"ms", base::inMilliseconds(took)}});
    if (session.caller) {
        session.caller->complete();
    }
    sessions.erase(call);
}

void RequestsShell::Parts::fail(requests::CallNumber call, const requests::CallError &error)
{
    auto &session = sessions.at(call);
    const std::string outcome(toString(error.outcome));
    environment.metrics.count("requests_total{outcome=\"" + outcome + "\"}");
    environment.metrics.count("requests_errors_total{code=\"" + std::string(toString(error.code)) + "\"}");
    telemetry::logDecision("requests", "request failed", {{"request", session.id.text()}, {"code", toString(error.code)}, {"outcome", outcome}});
    auto body = errorBody(error);
    const bool mayGoElsewhere = error.code == requests::ErrorCode::Draining || error.code == requests::ErrorCode::Starting;
    if (mayGoElsewhere && options.otherDaemonAddresses) {
        body.addresses = options.otherDaemonAddresses();
    }
    if (session.caller) {
        session.caller->fail(body);
    }
    sessions.erase(call);
}

void RequestsShell::Parts::onCallerDisconnected(requests::CallNumber call)
{
    const auto it = sessions.find(call);
    if (it == sessions.end()) {
        return;
    }
    telemetry::logDecision("requests", "caller disconnected", {{"request", it->second.id.text()}});
    it->second.caller.reset();
    perform(dispatcher->callerDisconnected(call, base::now()));
    if (!dispatcher->isInProgress(call)) {
        sessions.erase(call);
    }
}

void RequestsShell::Parts::tick()
{
    const auto now = base::now();
    perform(dispatcher->tick(now));
    if (now < nextKeepAliveAt) {
        return;
    }
    nextKeepAliveAt = now + options.keepAliveInterval / 2;
    std::vector<requests::CallNumber> blocked;
    for (auto &[call, session] : sessions) {
        if (session.caller && session.caller->isBlocked()) {
            session.caller->abort();
            blocked.push_back(call);
        } else if (session.caller) {
            session.caller->keepAlive(now, options.keepAliveInterval);
        }
    }
    for (const auto call : blocked) {
        onCallerDisconnected(call);
    }
}

} // namespace turmericplank::daemon
