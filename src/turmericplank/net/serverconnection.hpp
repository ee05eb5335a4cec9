#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::net {

/// @brief State shared by the connections of one server; outlives the server while connections are open.
struct ServerState : boost::intrusive_ref_counter<ServerState, boost::thread_unsafe_counter>
{
    explicit ServerState(HttpServerOptions serverOptions)
        : options(std::move(serverOptions))
    {
    }

    HttpServerOptions options;
    std::size_t exchangesInProgress = 0;
    std::size_t unwrittenResponses = 0;
    bool isStopping = false; ///< connections close after the response in progress
    bool isClosingAfterResponses = false; ///< each connection closes after its next response
};

/// @brief Serves one accepted connection until it ends.
/// @param socket the connection
/// @param serverState options and counters of its server
void startConnection(boost::asio::ip::tcp::socket socket, boost::intrusive_ptr<ServerState> serverState);

} // namespace turmericplank::net
