#include "turmericplank/peer/mesh.hpp"

#include <map>

#include "turmericplank/peer/incoming.hpp"
#include "turmericplank/peer/outgoing.hpp"

namespace turmericplank::peer {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class TcpMesh final : public Mesh
{
public:
    TcpMesh(asio::io_context &context, MeshOptions options)
        : m_context(context)
        , m_acceptor(context)
        , m_shared(new IncomingShared)
    {
        m_shared->options = std::move(options);
        const auto &listen = m_shared->options.listen;
        const tcp::endpoint local(asio::ip::make_address(listen.host), listen.port);
        m_acceptor.open(local.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(local);
        m_acceptor.listen(asio::socket_base::max_listen_connections);
        accept();
    }

    ~TcpMesh() override
    {
        m_shared->isStopping = true;
        m_shared->handlers.clear();
        for (const auto &[raw, session] : std::map(m_shared->sessions)) {
            session->close();
        }
        for (const auto &[to, outgoing] : m_outgoing) {
            outgoing->close();
        }
    }

    void handle(const std::string &kind, PeerHandler handler) override
    {
        m_shared->handlers[kind] = std::move(handler);
    }

    void call(const base::Address &to, PeerCall call) override
    {
        auto &outgoing = m_outgoing[to];
        if (!outgoing) {
            outgoing.reset(new Outgoing(m_context, to, m_shared->options, m_byteCounter));
        }
        outgoing->call(std::move(call));
    }

    void beginShutdown() override
    {
        m_shared->isStopping = true;
        boost::system::error_code ec;
        m_acceptor.close(ec);
        for (const auto &[raw, session] : m_shared->sessions) {
            session->beginShutdown();
        }
    }

    std::uint64_t bytesTransferred() const override
    {
        return m_byteCounter;
    }

private:
    void accept()
    {
        m_acceptor.async_accept(m_context, [this, shared = m_shared](boost::system::error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted || shared->isStopping) {
                return;
            }
            if (!ec) {
                boost::system::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                serveIncoming(std::move(socket), shared, m_byteCounter);
            }
            accept();
        });
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    boost::intrusive_ptr<IncomingShared> m_shared;
    std::map<base::Address, boost::intrusive_ptr<Outgoing>> m_outgoing;
    std::uint64_t m_byteCounter = 0;
};

} // namespace

std::unique_ptr<Mesh> openMesh(asio::io_context &context, MeshOptions options)
{
    return std::make_unique<TcpMesh>(context, std::move(options));
}

} // namespace turmericplank::peer
