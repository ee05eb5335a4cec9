#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::net {

/// @brief What the connections of one server share; it outlives the server while connections are open.
struct ServerShared : boost::intrusive_ref_counter<ServerShared, boost::thread_unsafe_counter>
{
    explicit ServerShared(HttpServerOptions serverOptions)
        : options(std::move(serverOptions))
    {
    }

    HttpServerOptions options;
    std::size_t exchangesInProgress = 0;
    bool isStopping = false;
    bool isClosingBehindAnswers = false; ///< each answer is the last of its connection ///< connections close after the answer in progress
};

/// @brief Serves one accepted connection until it ends.
/// @param socket the connection
/// @param shared options and counters of its server
void startConnection(boost::asio::ip::tcp::socket socket, boost::intrusive_ptr<ServerShared> shared);

} // namespace turmericplank::net
