#include "turmericplank/net/httpserver.hpp"

#include "turmericplank/net/serverconnection.hpp"
#include "turmericplank/net/tcplistener.hpp"

namespace turmericplank::net {

namespace {

class BeastHttpServer final : public HttpServer
{
public:
    BeastHttpServer(boost::asio::io_context &context, HttpServerOptions options)
        : m_serverState(new ServerState(std::move(options)))
        , m_listener(listenTcp(context, m_serverState->options.listen,
                               [serverState = m_serverState](boost::asio::ip::tcp::socket socket) { startConnection(std::move(socket), serverState); }))
    {
    }

    ~BeastHttpServer() override
    {
        m_listener->close();
        m_serverState->options.onRequest = nullptr;
        m_serverState->options.onUnanswered = nullptr;
        m_serverState->options.budget = nullptr;
    }

    void stopAccepting() override
    {
        m_listener->close();
        m_serverState->isStopping = true;
    }

    void closeAfterResponses() override
    {
        m_serverState->isClosingAfterResponses = true;
    }

    void setLimits(std::size_t maxHeaderBytes, std::size_t maxBodyBytes, base::Duration requestTimeout, base::Duration idleTimeout) override
    {
        m_serverState->options.maxHeaderBytes = maxHeaderBytes;
        m_serverState->options.maxBodyBytes = maxBodyBytes;
        m_serverState->options.requestTimeout = requestTimeout;
        m_serverState->options.idleTimeout = idleTimeout;
    }

    std::size_t exchangesInProgress() const override
    {
        return m_serverState->exchangesInProgress;
    }

    std::size_t unwrittenResponses() const override
    {
        return m_serverState->unwrittenResponses;
    }

private:
    boost::intrusive_ptr<ServerState> m_serverState;
    boost::intrusive_ptr<TcpListener> m_listener;
};

} // namespace

std::string_view toString(UnansweredCause cause)
{
    switch (cause) {
    case UnansweredCause::RequestIncomplete:
        return "request_incomplete";
    case UnansweredCause::CallerDisconnected:
        return "caller_disconnected";
    case UnansweredCause::WriteFailed:
        return "write_failed";
    case UnansweredCause::Aborted:
        return "aborted";
    case UnansweredCause::OverBudget:
        return "over_budget";
    case UnansweredCause::CrossedClose:
        return "crossed_close";
    }
    return "aborted";
}

std::unique_ptr<HttpServer> listenHttp(boost::asio::io_context &context, HttpServerOptions options)
{
    return std::make_unique<BeastHttpServer>(context, std::move(options));
}

} // namespace turmericplank::net
