#include "turmericplank/gateway/endpointcall.hpp"

#include <memory>

namespace turmericplank::gateway {

void callEndpoint(ConnectionPool &pool, const WireFormat &wire, const base::EndpointId &id, net::HttpRequest request, base::Time deadline,
                  std::function<void(std::optional<net::HttpResponse>)> onDone, std::function<bool()> maySend)
{
    pool.acquireConnection(id, true, base::now(),
                           [&pool, &wire, request = std::move(request), deadline, onDone = std::move(onDone),
                            maySend = std::move(maySend)](tl::expected<PooledConnection, AcquireError> pooled) {
                               if (!pooled) {
                                   onDone(std::nullopt);
                                   return;
                               }
                               if (!maySend()) {
                                   pool.returnConnection(*pooled, std::nullopt, base::now());
                                   onDone(std::nullopt);
                                   return;
                               }
                               const auto response = std::make_shared<net::HttpResponse>();
                               net::ClientRequest send;
                               send.request = request;
                               send.deadline = deadline;
                               send.onHeaders = [response, &wire](int status, const net::Headers &headers) {
                                   // A late response to a caller's call has its id; responses to the daemon's own requests have none.
                                   if (!wire.decodeResponseHead(status, headers).callId.empty()) {
                                       return net::HeaderAction::Skip;
                                   }
                                   response->status = status;
                                   response->headers = headers;
                                   return net::HeaderAction::Accept;
                               };
                               send.onChunk = [response](std::string_view piece) {
                                   response->body.append(piece);
                               };
                               send.onEnd = [&pool, response, pooled = *pooled, onDone](net::SendOutcome outcome) {
                                   if (!net::isComplete(outcome)) {
                                       pooled.connection->close();
                                   }
                                   pool.returnConnection(pooled, std::nullopt, base::now());
                                   onDone(net::isComplete(outcome) ? std::optional(std::move(*response)) : std::nullopt);
                               };
                               pooled->connection->send(std::move(send));
                           });
}

} // namespace turmericplank::gateway
