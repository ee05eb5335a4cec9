#include "turmericplank/net/httpserver.hpp"

#include <boost/asio/ip/tcp.hpp>

#include "turmericplank/net/serverconnection.hpp"

namespace turmericplank::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class Listener final : public HttpServer
{
public:
    Listener(asio::io_context &context, HttpServerOptions options)
        : m_shared(new ServerShared(std::move(options)))
        , m_context(context)
        , m_acceptor(context)
    {
        const auto &listen = m_shared->options.listen;
        const tcp::endpoint local(asio::ip::make_address(listen.host), listen.port);
        m_acceptor.open(local.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(local);
        m_acceptor.listen(asio::socket_base::max_listen_connections);
        accept();
    }

    ~Listener() override
    {
        m_shared->options.onRequest = nullptr;
    }

    void stopAccepting() override
    {
        boost::system::error_code ec;
        m_acceptor.close(ec);
        m_shared->isStopping = true;
    }

    std::size_t exchangesInProgress() const override
    {
        return m_shared->exchangesInProgress;
    }

private:
    void accept()
    {
        m_acceptor.async_accept(m_context, [this, shared = m_shared](boost::system::error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted || !shared->options.onRequest) {
                return;
            }
            if (!ec) {
                boost::system::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                startConnection(std::move(socket), shared);
            }
            accept();
        });
    }

    boost::intrusive_ptr<ServerShared> m_shared;
    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
};

} // namespace

std::unique_ptr<HttpServer> listenHttp(asio::io_context &context, HttpServerOptions options)
{
    return std::make_unique<Listener>(context, std::move(options));
}

} // namespace turmericplank::net
