#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::net {

/// @brief One request of a connected caller and the way to answer it.
///
/// Answered once: either with respond(), or with startStream(), any number of writeChunk() and endStream(). Calls after
/// the answer has ended or the caller has gone are ignored.
class HttpExchange : public boost::intrusive_ref_counter<HttpExchange, boost::thread_unsafe_counter>
{
public:
    virtual ~HttpExchange() = default;

    /// @brief The request with its whole body.
    virtual const HttpRequest &request() const = 0;
    /// @brief Answers whole.
    virtual void respond(HttpResponse response) = 0;
    /// @brief Starts a chunked answer.
    virtual void startStream(int status, Headers headers) = 0;
    /// @brief Queues a piece of a started answer.
    virtual void writeChunk(std::string piece) = 0;
    /// @brief Ends a started answer.
    virtual void endStream() = 0;
    /// @brief Breaks the connection off without an end, so that the caller sees a truncated answer.
    virtual void abort() = 0;
    /// @brief Bytes that are queued and not yet taken by the connection.
    virtual std::size_t queuedBytes() const = 0;
    /// @brief Sets what is called once if the caller closes before the answer has ended.
    virtual void setOnClosed(std::function<void()> onClosed) = 0;
};

using ExchangePointer = boost::intrusive_ptr<HttpExchange>;

/// @brief Limits of a server; a caller that breaks one gets a typed error and is disconnected.
struct HttpServerOptions
{
    base::Address listen;
    std::size_t maxHeaderBytes = 16 * 1024; ///< bytes
    std::size_t maxBodyBytes = 4 * 1024 * 1024; ///< bytes
    base::Duration requestTimeout = std::chrono::seconds(10); ///< from a request's first byte to its last
    base::Duration idleTimeout = std::chrono::seconds(75); ///< between requests of a connection
    base::Duration writeTimeout = std::chrono::seconds(20); ///< for a caller that stops reading
    std::function<void(ExchangePointer)> onRequest;
    /// Makes the answer to a request that breaks a limit or cannot be parsed, from an HTTP status.
    std::function<HttpResponse(int status)> onBadRequest;
};

/// @brief HTTP/1.1 server on Boost.Beast.
class HttpServer
{
public:
    virtual ~HttpServer() = default;

    /// @brief Stops accepting; requests in progress go on.
    virtual void stopAccepting() = 0;
    /// @brief From now on each connection is closed behind the answer that it gets next, and the answer says so.
    virtual void closeAfterResponses() = 0;
    /// @brief Changes the limits for requests that begin from now on.
    virtual void setLimits(std::size_t maxHeaderBytes, std::size_t maxBodyBytes, base::Duration requestTimeout, base::Duration idleTimeout) = 0;
    /// @brief Requests that are being answered.
    virtual std::size_t exchangesInProgress() const = 0;
};

/// @brief Starts listening.
/// @param context runs all of its handlers
/// @param options limits and hooks
/// @return the server
/// @throws boost::system::system_error if the address cannot be bound
std::unique_ptr<HttpServer> listenHttp(boost::asio::io_context &context, HttpServerOptions options);

} // namespace turmericplank::net
