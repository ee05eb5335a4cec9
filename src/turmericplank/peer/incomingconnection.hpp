#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "turmericplank/peer/http2session.hpp"
#include "turmericplank/peer/mesh.hpp"

namespace turmericplank::peer {

using PeerHandler = std::function<void(base::DaemonId from, std::string body, PeerResponder responder)>;

/// @brief State shared by the incoming connections of a mesh.
struct IncomingContext : boost::intrusive_ref_counter<IncomingContext, boost::thread_unsafe_counter>
{
    MeshOptions options;
    std::map<std::string, PeerHandler> handlers;
    bool isStopping = false;
    std::map<Http2Session *, boost::intrusive_ptr<Http2Session>> sessions;
};

/// @brief Serves the calls that another daemon makes on an accepted connection.
/// @param socket accepted socket
/// @param context handlers and limits
/// @param byteCounter incremented by the bytes sent and received; must outlive the connection
void serveIncomingConnection(boost::asio::ip::tcp::socket socket, boost::intrusive_ptr<IncomingContext> context, std::uint64_t &byteCounter);

} // namespace turmericplank::peer
