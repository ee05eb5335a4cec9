#include "turmericplank/peer/mesh.hpp"

#include <map>

#include "turmericplank/net/tcplistener.hpp"
#include "turmericplank/peer/incomingconnection.hpp"
#include "turmericplank/peer/outgoingconnection.hpp"

namespace turmericplank::peer {

namespace {

class TcpMesh final : public Mesh
{
public:
    TcpMesh(boost::asio::io_context &context, MeshOptions options)
        : m_context(context)
        , m_incomingContext(new IncomingContext)
    {
        m_incomingContext->options = std::move(options);
        m_listener = net::listenTcp(context, m_incomingContext->options.listen, [this](boost::asio::ip::tcp::socket socket) {
            serveIncomingConnection(std::move(socket), m_incomingContext, m_byteCounter);
        });
    }

    ~TcpMesh() override
    {
        m_listener->close();
        m_incomingContext->isStopping = true;
        m_incomingContext->handlers.clear();
        for (const auto &[raw, session] : std::map(m_incomingContext->sessions)) {
            session->close();
        }
        for (const auto &[to, outgoing] : m_outgoing) {
            outgoing->close();
        }
    }

    void handle(const std::string &kind, PeerHandler handler) override
    {
        m_incomingContext->handlers[kind] = std::move(handler);
    }

    void call(const base::Address &to, PeerCall call) override
    {
        auto &outgoing = m_outgoing[to];
        if (!outgoing) {
            outgoing.reset(new OutgoingConnection(m_context, to, m_incomingContext->options, m_byteCounter));
        }
        outgoing->call(std::move(call));
    }

    void beginShutdown() override
    {
        m_incomingContext->isStopping = true;
        m_listener->close();
        for (const auto &[raw, session] : m_incomingContext->sessions) {
            session->beginShutdown();
        }
    }

    std::uint64_t bytesTransferred() const override
    {
        return m_byteCounter;
    }

private:
    boost::asio::io_context &m_context;
    boost::intrusive_ptr<IncomingContext> m_incomingContext;
    boost::intrusive_ptr<net::TcpListener> m_listener;
    std::map<base::Address, boost::intrusive_ptr<OutgoingConnection>> m_outgoing;
    std::uint64_t m_byteCounter = 0;
};

} // namespace

std::unique_ptr<Mesh> openMesh(boost::asio::io_context &context, MeshOptions options)
{
    return std::make_unique<TcpMesh>(context, std::move(options));
}

} // namespace turmericplank::peer
