#include <algorithm>

#include "requestsparts.hpp"

namespace turmericplank::daemon {

namespace {

constexpr auto PeerTimeout = std::chrono::seconds(1);

} // namespace

requests::MessageHeader RequestsShell::Parts::messageHeader() const
{
    return {environment.settings.id, options.revision ? options.revision() : base::Revision()};
}

void RequestsShell::Parts::callPeer(const base::DaemonId &to, const std::string &kind, std::string body, std::function<void(const std::string &)> onAnswer)
{
    const auto peers = options.peers ? options.peers() : std::vector<PeerTarget>();
    const auto peer = std::find_if(peers.begin(), peers.end(), [&to](const PeerTarget &it) { return it.id == to; });
    if (peer == peers.end()) {
        return;
    }
    const auto answer = std::make_shared<std::string>();
    peer::PeerCall call;
    call.kind = kind;
    call.body = std::move(body);
    call.timeout = PeerTimeout;
    call.onChunk = [answer](std::string_view piece) {
        answer->append(piece);
    };
    // Failed calls are not retried here; the dispatcher's handling of suspects repeats them.
    call.onEnd = [weak = weak_from_this(), answer, onAnswer = std::move(onAnswer)](const tl::expected<void, peer::PeerFailure> &result) {
        const auto parts = weak.lock();
        if (result && parts) {
            onAnswer(*answer);
        }
    };
    environment.peers.call(peer->address, std::move(call));
}

void RequestsShell::Parts::addPeerHandlers()
{
    const auto weak = weak_from_this();
    environment.peers.handle("requests/question", [weak](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
        const auto parts = weak.lock();
        const auto message = requests::decodeMessage<requests::TrialQuestionMessage>(body);
        if (!parts || !message) {
            answer.reject();
            return;
        }
        requests::TrialReply reply;
        const auto actions = parts->dispatcher->question(from, message->question, base::now(), reply);
        answer.write(encode(requests::TrialReplyMessage{parts->messageHeader(), reply}));
        answer.end();
        parts->perform(actions);
    });
    environment.peers.handle("requests/tell", [weak](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
        const auto parts = weak.lock();
        const auto message = requests::decodeMessage<requests::SuspectsMessage>(body);
        if (!parts || !message) {
            answer.reject();
            return;
        }
        for (const auto &it : message->suspects) {
            parts->dispatcher->notificationReceived(from, it, base::now());
        }
        answer.end();
    });
    environment.peers.handle("requests/suspects", [weak](const base::DaemonId &from, const std::string &, const peer::PeerResponder &answer) {
        const auto parts = weak.lock();
        if (!parts) {
            answer.reject();
            return;
        }
        answer.write(encode(requests::SuspectsMessage{parts->messageHeader(), parts->dispatcher->suspectsRequested(from)}));
        answer.end();
    });
}

} // namespace turmericplank::daemon
