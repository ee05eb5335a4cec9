// Runs a server that streams an answer in pieces and a client that reads it, in one process.
#include <iostream>
#include <string>

#include "turmericplank/net/httpclient.hpp"
#include "turmericplank/net/httpserver.hpp"

using namespace turmericplank;

namespace {

void streamWords(const net::ExchangePointer &exchange)
{
    exchange->startStream(200, {{"Content-Type", "text/event-stream"}});
    for (const auto *it : {"shut", "the", "valve"}) {
        exchange->writeChunk(std::string("data: ") + it + "\n\n");
    }
    exchange->endStream();
}

} // namespace

int main()
{
    const base::Address address{"127.0.0.1", 21050};
    boost::asio::io_context context;
    net::HttpServerOptions options;
    options.listen = address;
    options.onRequest = streamWords;
    const auto server = net::listenHttp(context, std::move(options));

    std::string answer;
    bool isComplete = false;
    net::HttpCallOptions call;
    call.to = address;
    call.request = {"GET", "/advice", {}, {}};
    call.onChunk = [&answer](std::string_view piece) {
        answer += piece;
    };
    call.onEnd = [&](tl::expected<void, net::CallFailure> end) {
        isComplete = end.has_value();
        context.stop();
    };
    net::startCall(context, std::move(call));
    context.run_for(std::chrono::seconds(5));
    std::cout << answer;
    return isComplete && answer == "data: shut\n\ndata: the\n\ndata: valve\n\n" ? 0 : 1;
}
