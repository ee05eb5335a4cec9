#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "turmericplank/base/address.hpp"

namespace turmericplank::net {

/// @brief Accepts connections until it is closed; dropping the pointer does not close it.
class TcpListener : public boost::intrusive_ref_counter<TcpListener, boost::thread_unsafe_counter>
{
public:
    using AcceptHook = std::function<void(boost::asio::ip::tcp::socket)>;

    /// @param context runs the hook
    /// @param address where to listen
    /// @param onAccept gets each connection, with no delay set
    /// @throws boost::system::system_error if the address cannot be bound
    TcpListener(boost::asio::io_context &context, const base::Address &address, AcceptHook onAccept);

    /// @brief Starts accepting.
    void start();

    /// @brief Stops accepting; the hook is not called afterwards.
    void close();

private:
    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    AcceptHook m_onAccept;
};

/// @brief Listens on an address.
boost::intrusive_ptr<TcpListener> listenTcp(boost::asio::io_context &context, const base::Address &address, TcpListener::AcceptHook onAccept);

} // namespace turmericplank::net
