#include "turmericplank/net/tcplistener.hpp"

namespace turmericplank::net {

namespace asio = boost::asio;
using asio::ip::tcp;

TcpListener::TcpListener(asio::io_context &context, const base::Address &address, AcceptCallback onAccept)
    : m_context(context)
    , m_acceptor(context)
    , m_onAccept(std::move(onAccept))
{
    const tcp::endpoint local(asio::ip::make_address(address.host), address.port);
    m_acceptor.open(local.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(local);
    m_acceptor.listen(asio::socket_base::max_listen_connections);
}

void TcpListener::start()
{
    m_acceptor.async_accept(m_context, [self = boost::intrusive_ptr<TcpListener>(this)](boost::system::error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted || !self->m_onAccept) {
            return;
        }
        if (!ec) {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            // The callback may close the listener, so a copy is called.
            const auto callback = self->m_onAccept;
            callback(std::move(socket));
        }
        if (self->m_onAccept) {
            self->start();
        }
    });
}

void TcpListener::close()
{
    m_onAccept = nullptr;
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

boost::intrusive_ptr<TcpListener> listenTcp(asio::io_context &context, const base::Address &address, TcpListener::AcceptCallback onAccept)
{
    const boost::intrusive_ptr<TcpListener> listener(new TcpListener(context, address, std::move(onAccept)));
    listener->start();
    return listener;
}

} // namespace turmericplank::net
