#pragma once

#include <functional>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <tl/expected.hpp>

#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::net {

/// @brief Max bytes of a response that is collected as a whole, or skipped.
///
/// An answer has a few KB. Some dozens of bodies of this size at a time fit into a VM with 160 MB.
constexpr std::size_t MaxBodyBytes = 1024 * 1024;
/// @brief Max bytes of a response that is passed on as it arrives: 1,000 events of 4 KB, which events do not reach.
constexpr std::size_t MaxStreamBytes = 4 * 1024 * 1024;

/// @brief How a request on a persistent connection ended.
enum class SendOutcome {
    Complete, ///< the whole response was received
    CompleteByClose, ///< the response had neither a length nor chunks and ended with its connection, so that it may have been broken off
    NotSent, ///< no byte of the request was written to the connection
    ConnectionLost, ///< the connection ended before the whole response was received
    TimedOut, ///< the deadline passed before the response was complete
    Malformed, ///< the received bytes are not a valid response, exceed a limit, or follow too many late or interim responses
};

/// @brief Whether a response was received as far as can be told.
bool isComplete(SendOutcome outcome);

/// @brief Why a connection could not be opened, or ended.
enum class ConnectionError {
    None,
    Refused, ///< nothing accepts connections at the address
    Reset, ///< the other side has reset the connection
    Closed, ///< the other side has closed the connection
    TimedOut, ///< the connection was not established in time, or sent bytes were not acknowledged in time
    Other,
};

/// @brief The error as it is written in logs.
std::string_view toString(ConnectionError error);

/// @brief The outcome as it is written in logs.
std::string_view toString(SendOutcome outcome);

/// @brief What to do with a response, decided from its status and headers.
enum class HeaderAction {
    Accept, ///< the response belongs to the request and is collected as a whole
    Stream, ///< the response belongs to the request and is passed on as it arrives
    Skip, ///< a late response to an earlier request: read it to its end and wait for the next one
};

/// @brief One request on a persistent connection.
struct ClientRequest
{
    HttpRequest request; ///< Host and Content-Length are added where they are missing
    base::Time deadline; ///< when onTimeout is called; moved with ClientConnection::setDeadline()
    std::function<HeaderAction(int status, const Headers &headers)> onHeaders; ///< not called for interim responses (1xx), which are read past
    std::function<void(std::string_view chunk)> onChunk;
    /// Called when the deadline passes; may return a later deadline to go on waiting. Otherwise the request times out.
    std::function<base::Time()> onTimeout;
    std::function<void(SendOutcome)> onEnd; ///< called exactly once, unless close() is called first
};

/// @brief A persistent connection to an endpoint that carries one request at a time.
///
/// It reads continuously, unless reading is paused; bytes received while no request is in progress close it. An endpoint may answer before it has read the
/// whole request and read on later: the rest of the request is still written, and the connection is idle only after that.
class ClientConnection : public boost::intrusive_ref_counter<ClientConnection, boost::thread_unsafe_counter>
{
public:
    virtual ~ClientConnection() = default;

    /// @brief Sends a request; allowed only while isIdle().
    virtual void send(ClientRequest request) = 0;
    /// @brief Changes the deadline of the request in progress.
    virtual void setDeadline(base::Time deadline) = 0;
    /// @brief Stops reading the response in progress, or goes on; bytes that have been read are still passed on.
    ///
    /// The deadline still applies. The end of the connection is not noticed meanwhile.
    virtual void setReadingPaused(bool isPaused) = 0;
    /// @brief Closes the connection; no callback is called afterwards.
    virtual void close() = 0;
    /// @brief Whether the next request may be sent.
    virtual bool isIdle() const = 0;
    /// @brief Whether the response is complete while the rest of the request is still being written.
    virtual bool isWritingRest() const = 0;
    /// @brief Why the connection has ended, if not by this side.
    virtual ConnectionError error() const = 0;
    /// @brief Sets the callback for a connection that ends while it is idle.
    virtual void setOnIdleClose(std::function<void()> callback) = 0;
    /// @brief Sets the callback for the end of isWritingRest(), after which the connection is idle or closed; called at most once.
    virtual void setOnRestWritten(std::function<void()> callback) = 0;
};

using ClientConnectionPointer = boost::intrusive_ptr<ClientConnection>;

/// @brief Opens a connection.
/// @param context runs all callbacks
/// @param to address of the endpoint
/// @param deadline when the attempt to connect is abandoned
/// @param onOpen receives the connection, or the error; called exactly once, never before the function returns
void openConnection(boost::asio::io_context &context, const base::Address &to, base::Time deadline,
                    std::function<void(tl::expected<ClientConnectionPointer, ConnectionError>)> onOpen);

} // namespace turmericplank::net
