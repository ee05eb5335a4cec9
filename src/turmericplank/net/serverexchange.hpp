#pragma once

#include <optional>

#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::net {

/// @brief The connection as an exchange needs it.
class ExchangeSink : public boost::intrusive_ref_counter<ExchangeSink, boost::thread_unsafe_counter>
{
public:
    virtual ~ExchangeSink() = default;

    /// @brief Queues bytes.
    virtual void write(std::string bytes) = 0;
    /// @brief The answer is queued whole.
    /// @param keepsAlive whether another request may follow
    virtual void endExchange(bool keepsAlive) = 0;
    /// @brief Closes without an answer; starts no operation, since the context may be going away.
    virtual void drop() = 0;
    /// @brief Bytes that wait for the socket.
    virtual std::size_t queuedBytes() const = 0;
    /// @brief Whether the request was HTTP/1.0, which knows no chunks.
    virtual bool isOldHttp() const = 0;
    /// @brief Whether the request allows another one behind it.
    virtual bool wantsKeepAlive() const = 0;
    /// @brief Counts the exchanges in progress.
    virtual void countExchange(int change) = 0;
};

using SinkPointer = boost::intrusive_ptr<ExchangeSink>;

/// @brief One request of a connection; outlives the connection as long as its handler holds it.
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
    void writeChunk(std::string piece) override;
    void endStream() override;
    void abort() override;
    std::size_t queuedBytes() const override;
    void setOnClosed(std::function<void()> onClosed) override
    {
        m_onClosed = std::move(onClosed);
    }

    /// @brief The caller has closed.
    void notifyClosed();

private:
    void finish(bool keepsAlive);
    void queueHead(int status, const Headers &headers, std::optional<std::size_t> length);

    enum class Phase { Waiting, Streaming, Ended };

    SinkPointer m_sink;
    HttpRequest m_request;
    std::function<void()> m_onClosed;
    Phase m_phase = Phase::Waiting;
};

} // namespace turmericplank::net
