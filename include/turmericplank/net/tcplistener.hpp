#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "turmericplank/base/address.hpp"

namespace turmericplank::net {

/// @brief Accepts connections until close() is called; releasing the pointer does not close it.
class TcpListener : public boost::intrusive_ref_counter<TcpListener, boost::thread_unsafe_counter>
{
public:
    using AcceptCallback = std::function<void(boost::asio::ip::tcp::socket)>;

    /// @param context runs the callback
    /// @param address address to listen on
    /// @param onAccept receives each accepted connection, with TCP_NODELAY set
    /// @throws boost::system::system_error if the address cannot be bound
    TcpListener(boost::asio::io_context &context, const base::Address &address, AcceptCallback onAccept);

    /// @brief Starts accepting.
    void start();

    /// @brief Stops accepting; the callback is not called afterwards.
    void close();

private:
    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    AcceptCallback m_onAccept;
};

/// @brief Creates a listener on an address and starts it.
boost::intrusive_ptr<TcpListener> listenTcp(boost::asio::io_context &context, const base::Address &address, TcpListener::AcceptCallback onAccept);

} // namespace turmericplank::net
