#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "turmericplank/peer/http2session.hpp"
#include "turmericplank/peer/mesh.hpp"

namespace turmericplank::peer {

using PeerHandler = std::function<void(base::DaemonId from, std::string body, PeerResponder answer)>;

/// @brief What the incoming connections of a mesh share.
struct IncomingShared : boost::intrusive_ref_counter<IncomingShared, boost::thread_unsafe_counter>
{
    MeshOptions options;
    std::map<std::string, PeerHandler> handlers;
    bool isStopping = false;
    std::map<Http2Session *, boost::intrusive_ptr<Http2Session>> sessions;
};

/// @brief Serves the calls of another daemon's connection.
/// @param socket accepted socket
/// @param shared handlers and limits
/// @param byteCounter counts transferred bytes
void serveIncoming(boost::asio::ip::tcp::socket socket, boost::intrusive_ptr<IncomingShared> shared, std::uint64_t &byteCounter);

} // namespace turmericplank::peer
