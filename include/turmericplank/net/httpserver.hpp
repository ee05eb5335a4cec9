#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "turmericplank/net/callerbudget.hpp"
#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::net {

/// @brief One request of a connected caller and its response.
///
/// The response is sent once: either with respond(), or with startStream(), any number of writeChunk() and endStream().
/// Calls after the end of the response or after the caller has disconnected are ignored. Releasing the last pointer before
/// the end of the response closes the connection.
class HttpExchange : public boost::intrusive_ref_counter<HttpExchange, boost::thread_unsafe_counter>
{
public:
    virtual ~HttpExchange() = default;

    /// @brief The request, including its whole body.
    virtual const HttpRequest &request() const = 0;
    /// @brief Sends a complete response.
    virtual void respond(HttpResponse response) = 0;
    /// @brief Starts a chunked response.
    virtual void startStream(int status, Headers headers) = 0;
    /// @brief Queues a chunk of a started response.
    virtual void writeChunk(std::string chunk) = 0;
    /// @brief Ends a started response.
    virtual void endStream() = 0;
    /// @brief Closes the connection without ending the response, so that the caller sees it as truncated.
    virtual void abort() = 0;
    /// @brief Bytes that are queued and not yet written to the connection.
    virtual std::size_t queuedBytes() const = 0;
    /// @brief Whether the caller is still connected, by what has reached this host. Returns false before onClosed is called if the end of the
    /// connection has arrived and has not been handled yet.
    virtual bool isCallerConnected() = 0;
    /// @brief Sets the callback that is called once if the caller disconnects before the end of the response.
    virtual void setOnClosed(std::function<void()> onClosed) = 0;
    /// @brief Sets the callback that is called each time queued bytes have been written, until the end of the response.
    /// @param onWritten null to remove it
    virtual void setOnWritten(std::function<void()> onWritten) = 0;
};

using ExchangePointer = boost::intrusive_ptr<HttpExchange>;

/// @brief Why a connection ended although the caller has sent at least a part of a request that was not answered completely.
enum class UnansweredCause {
    RequestIncomplete, ///< the connection ended before the whole request was received
    CallerDisconnected, ///< the caller closed the connection before the end of the response
    WriteFailed, ///< the response could not be written
    Aborted, ///< the handler ended the response early
    OverBudget, ///< the connection gave way to others
    CrossedClose, ///< bytes of another request arrived after the last response, which had announced the end of the connection
};

/// @brief Name of a cause in metrics.
std::string_view toString(UnansweredCause cause);

/// @brief Limits of a server; a caller that exceeds one receives a typed error and is disconnected.
struct HttpServerOptions
{
    base::Address listen;
    std::size_t maxHeaderBytes = 16 * 1024; ///< of a request; a larger header is answered with status 431
    std::size_t maxBodyBytes = 4 * 1024 * 1024; ///< of a request; a larger body is answered with status 413
    base::Duration requestTimeout = std::chrono::seconds(10); ///< from a request's first byte to its last; a slower request is answered with status 408
    base::Duration idleTimeout = std::chrono::seconds(75); ///< between two requests on a connection
    /// For one write of at most 16 KiB; the caller is disconnected if the socket has not accepted it by then.
    base::Duration writeTimeout = std::chrono::seconds(20);
    /// Bytes of a response that the system keeps for a caller that does not read; if zero, the system chooses, up to several MB. They occupy memory
    /// of the VM beside those that the budget counts.
    std::size_t sendBufferBytes = 0;
    CallerBudgetPointer budget; ///< shared by the servers of a process; no bound if null
    std::function<void(ExchangePointer)> onRequest;
    /// Builds the response to a request that exceeds a limit or cannot be parsed, for a given HTTP status.
    std::function<HttpResponse(int status)> onBadRequest;
    std::function<void(UnansweredCause)> onUnanswered; ///< called once for each connection that ends with an unanswered request
};

/// @brief HTTP/1.1 server on Boost.Beast.
class HttpServer
{
public:
    virtual ~HttpServer() = default;

    /// @brief Stops accepting connections; requests in progress continue.
    virtual void stopAccepting() = 0;
    /// @brief From now on closes each connection after its next response, which announces this to the caller.
    virtual void closeAfterResponses() = 0;
    /// @brief Changes the limits for requests that start from now on.
    virtual void setLimits(std::size_t maxHeaderBytes, std::size_t maxBodyBytes, base::Duration requestTimeout, base::Duration idleTimeout) = 0;
    /// @brief Number of requests in progress.
    virtual std::size_t exchangesInProgress() const = 0;
    /// @brief Number of connections whose responses, complete or not, the system has not taken whole yet. The end of the process would truncate them.
    virtual std::size_t unwrittenResponses() const = 0;
};

/// @brief Starts listening.
/// @param context runs all callbacks
/// @param options limits and callbacks
/// @throws boost::system::system_error if the address cannot be bound
std::unique_ptr<HttpServer> listenHttp(boost::asio::io_context &context, HttpServerOptions options);

} // namespace turmericplank::net
