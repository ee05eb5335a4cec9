#include "turmericplank/net/httpserver.hpp"

#include "turmericplank/net/serverconnection.hpp"
#include "turmericplank/net/tcplistener.hpp"

namespace turmericplank::net {

namespace {

class Listener final : public HttpServer
{
public:
    Listener(boost::asio::io_context &context, HttpServerOptions options)
        : m_shared(new ServerShared(std::move(options)))
        , m_listener(listenTcp(context, m_shared->options.listen,
                               [shared = m_shared](boost::asio::ip::tcp::socket socket) { startConnection(std::move(socket), shared); }))
    {
    }

    ~Listener() override
    {
        m_listener->close();
        m_shared->options.onRequest = nullptr;
    }

    void stopAccepting() override
    {
        m_listener->close();
        m_shared->isStopping = true;
    }

    void closeAfterResponses() override
    {
        m_shared->isClosingBehindAnswers = true;
    }

    void setLimits(std::size_t maxHeaderBytes, std::size_t maxBodyBytes, base::Duration requestTimeout, base::Duration idleTimeout) override
    {
        m_shared->options.maxHeaderBytes = maxHeaderBytes;
        m_shared->options.maxBodyBytes = maxBodyBytes;
        m_shared->options.requestTimeout = requestTimeout;
        m_shared->options.idleTimeout = idleTimeout;
    }

    std::size_t exchangesInProgress() const override
    {
        return m_shared->exchangesInProgress;
    }

private:
    boost::intrusive_ptr<ServerShared> m_shared;
    boost::intrusive_ptr<TcpListener> m_listener;
};

} // namespace

std::unique_ptr<HttpServer> listenHttp(boost::asio::io_context &context, HttpServerOptions options)
{
    return std::make_unique<Listener>(context, std::move(options));
}

} // namespace turmericplank::net
