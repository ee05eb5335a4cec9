#pragma once

#include <optional>

#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::net {

/// @brief Interface of the connection that an exchange writes to.
class ExchangeSink : public boost::intrusive_ref_counter<ExchangeSink, boost::thread_unsafe_counter>
{
public:
    virtual ~ExchangeSink() = default;

    /// @brief Queues bytes for writing.
    virtual void write(std::string bytes) = 0;
    /// @brief Called when the whole response has been queued.
    /// @param keepsAlive whether another request may follow on the connection
    virtual void endExchange(bool keepsAlive) = 0;
    /// @brief Closes without completing the response; starts no operation, since the io_context may be shutting down.
    virtual void abortConnection() = 0;
    /// @brief Bytes that are queued and not yet written to the socket.
    virtual std::size_t queuedBytes() const = 0;
    /// @brief Whether the request was HTTP/1.0, which has no chunked encoding.
    virtual bool isHttp10() const = 0;
    /// @brief Whether the connection can be reused for another request.
    virtual bool wantsKeepAlive() const = 0;
    /// @brief Whether the caller is still connected, by what has reached this host.
    virtual bool isCallerConnected() = 0;
    /// @brief Adds to the number of exchanges in progress.
    virtual void adjustExchangeCount(int change) = 0;
};

using SinkPointer = boost::intrusive_ptr<ExchangeSink>;

/// @brief One request of a connection; outlives the connection while its handler holds it.
class ServerExchange final : public HttpExchange
{
public:
    ServerExchange(SinkPointer sink, HttpRequest request);
    ~ServerExchange() override;

    const HttpRequest &request() const override
    {
        return m_request;
    }
    void respond(HttpResponse response) override;
    void startStream(int status, Headers headers) override;
    void writeChunk(std::string chunk) override;
    void endStream() override;
    void abort() override;
    std::size_t queuedBytes() const override;
    bool isCallerConnected() override;
    void setOnClosed(std::function<void()> onClosed) override
    {
        m_onClosed = std::move(onClosed);
    }
    void setOnWritten(std::function<void()> onWritten) override
    {
        m_onWritten = std::move(onWritten);
    }

    /// @brief Ends the exchange because the caller disconnected, and calls the onClosed callback.
    void notifyClosed();

    /// @brief Calls the onWritten callback.
    void notifyWritten() const;

private:
    void finish(bool keepsAlive);
    void queueHeaders(int status, const Headers &headers, std::optional<std::size_t> length);

    enum class Phase { Waiting, Streaming, Ended };

    SinkPointer m_sink;
    HttpRequest m_request;
    std::function<void()> m_onClosed;
    std::function<void()> m_onWritten;
    Phase m_phase = Phase::Waiting;
};

} // namespace turmericplank::net
