#include "turmericplank/gateway/incarnationcheck.hpp"

#include <memory>
#include <utility>

namespace turmericplank::gateway {

void checkIncarnation(const WireFormat &wire, const PooledConnection &pooled, base::Time deadline, std::function<void(IncarnationCheck)> onDone)
{
    const auto response = std::make_shared<net::HttpResponse>();
    net::ClientRequest send;
    send.request = wire.makeStateRequest();
    send.deadline = deadline;
    // The functions are copied, since the answer may come after the end of the daemon's gateway.
    send.onHeaders = [response, decodeHead = wire.decodeResponseHead](int status, const net::Headers &headers) {
        // A late response to a caller's call has its id; responses to the daemon's own requests have none.
        if (!decodeHead(status, headers).callId.empty()) {
            return net::HeaderAction::Skip;
        }
        response->status = status;
        return net::HeaderAction::Accept;
    };
    send.onChunk = [response](std::string_view chunk) {
        response->body.append(chunk);
    };
    send.onEnd = [response, decodeState = wire.decodeState, pooled, onDone = std::move(onDone)](net::SendOutcome outcome) {
        const auto state = net::isComplete(outcome) ? decodeState(*response) : std::nullopt;
        if (state && state->incarnation != pooled.incarnation) {
            onDone(IncarnationCheck::Other);
            return;
        }
        onDone(state && pooled.connection->isIdle() ? IncarnationCheck::Same : IncarnationCheck::Failed);
    };
    pooled.connection->send(std::move(send));
}

} // namespace turmericplank::gateway
