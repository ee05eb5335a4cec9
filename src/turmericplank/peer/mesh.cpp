#include "turmericplank/peer/mesh.hpp"

#include <map>

#include "turmericplank/net/tcplistener.hpp"
#include "turmericplank/peer/incoming.hpp"
#include "turmericplank/peer/outgoing.hpp"

namespace turmericplank::peer {

namespace {

class TcpMesh final : public Mesh
{
public:
    TcpMesh(boost::asio::io_context &context, MeshOptions options)
        : m_context(context)
        , m_shared(new IncomingShared)
    {
        m_shared->options = std::move(options);
        m_listener = net::listenTcp(context, m_shared->options.listen,
                                    [this](boost::asio::ip::tcp::socket socket) { serveIncoming(std::move(socket), m_shared, m_byteCounter); });
    }

    ~TcpMesh() override
    {
        m_listener->close();
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
        m_listener->close();
        for (const auto &[raw, session] : m_shared->sessions) {
            session->beginShutdown();
        }
    }

    std::uint64_t bytesTransferred() const override
    {
        return m_byteCounter;
    }

private:
    boost::asio::io_context &m_context;
    boost::intrusive_ptr<IncomingShared> m_shared;
    boost::intrusive_ptr<net::TcpListener> m_listener;
    std::map<base::Address, boost::intrusive_ptr<Outgoing>> m_outgoing;
    std::uint64_t m_byteCounter = 0;
};

} // namespace

std::unique_ptr<Mesh> openMesh(boost::asio::io_context &context, MeshOptions options)
{
    return std::make_unique<TcpMesh>(context, std::move(options));
}

} // namespace turmericplank::peer
