// Opens the meshes of two daemons in one process; the first calls the second and prints the answer.
#include <iostream>

#include "turmericplank/peer/mesh.hpp"

using namespace turmericplank;

namespace {

std::unique_ptr<peer::Mesh> startMesh(boost::asio::io_context &context, const base::Address &listen, const char *name)
{
    peer::MeshOptions options;
    options.listen = listen;
    options.self = base::DaemonId(name);
    return peer::openMesh(context, options);
}

} // namespace

int main()
{
    const base::Address firstAddress{"127.0.0.1", 20151};
    const base::Address secondAddress{"127.0.0.1", 20152};
    boost::asio::io_context context;
    const auto first = startMesh(context, firstAddress, "entry-1");
    const auto second = startMesh(context, secondAddress, "entry-2");
    second->handle("example/greeting", [](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
        answer.write("entry-2 read '" + body + "' from " + from.text());
        answer.end();
    });

    int status = 1;
    peer::PeerCall call;
    call.kind = "example/greeting";
    call.body = "hello";
    call.onChunk = [](std::string_view piece) {
        std::cout << piece;
    };
    call.onEnd = [&](tl::expected<void, peer::PeerFailure> end) {
        std::cout << (end ? "\n" : "no answer\n");
        status = end ? 0 : 1;
        context.stop();
    };
    first->call(secondAddress, std::move(call));
    context.run_for(std::chrono::seconds(5));
    return status;
}
