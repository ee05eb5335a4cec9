#include "turmericplank/gateway/endpointcall.hpp"

#include <memory>

namespace turmericplank::gateway {

void callEndpoint(EndpointPool &pool, const WireFormat &wire, const base::EndpointId &id, net::HttpRequest request, base::Time deadline,
                  std::function<void(std::optional<net::HttpResponse>)> onDone)
{
    pool.borrow(id, true, base::now(),
                [&pool, &wire, request = std::move(request), deadline, onDone = std::move(onDone)](tl::expected<Loan, LoanFailure> loan) {
                    if (!loan) {
                        onDone(std::nullopt);
                        return;
                    }
                    const auto response = std::make_shared<net::HttpResponse>();
                    net::ClientRequest send;
                    send.request = request;
                    send.deadline = deadline;
                    send.onHeaders = [response, &wire](int status, const net::Headers &headers) {
                        // A late answer to a caller's call names that call; answers to the daemon's own questions name none.
                        if (!wire.readAnswer(status, headers).callId.empty()) {
                            return net::HeaderAction::Skip;
                        }
                        response->status = status;
                        response->headers = headers;
                        return net::HeaderAction::Accept;
                    };
                    send.onChunk = [response](std::string_view piece) {
                        response->body.append(piece);
                    };
                    send.onEnd = [&pool, response, loan = *loan, onDone](net::SendOutcome outcome) {
                        if (outcome != net::SendOutcome::Complete) {
                            loan.connection->close();
                        }
                        pool.giveBack(loan, std::nullopt, base::now());
                        onDone(outcome == net::SendOutcome::Complete ? std::optional(std::move(*response)) : std::nullopt);
                    };
                    loan->connection->send(std::move(send));
                });
}

} // namespace turmericplank::gateway
