#pragma once

#include <functional>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::net {

/// @brief How a request on a kept connection ended.
enum class SendOutcome {
    Complete, ///< the whole answer came
    NotSent, ///< no byte of the request was handed to the connection
    ConnectionLost, ///< the connection ended before the whole answer
    TimedOut, ///< nothing came until the deadline
    Malformed, ///< the bytes are no answer
};

/// @brief The word of an outcome in logs.
std::string_view toString(SendOutcome outcome);

/// @brief Whether an answer's head belongs to the request that was sent.
enum class HeaderAction {
    Accept,
    Skip, ///< a late answer to an earlier request: it is read to its end, and the next one is awaited
};

/// @brief One request on a kept connection.
struct ClientRequest
{
    HttpRequest request; ///< Host and Content-Length are added where they are missing
    base::Time deadline; ///< without any byte of the answer; see ClientConnection::setDeadline()
    std::function<HeaderAction(int status, const Headers &headers)> onHeaders;
    std::function<void(std::string_view piece)> onChunk;
    /// Called when nothing came until the deadline; a later one that it returns is waited for.
    std::function<base::Time()> onTimeout;
    std::function<void(SendOutcome)> onEnd; ///< called exactly once, unless the connection is closed by its user
};

/// @brief A connection to an endpoint that carries one request after the other.
///
/// It reads all the time: bytes that come while no request is under way close it.
class ClientConnection : public boost::intrusive_ref_counter<ClientConnection, boost::thread_unsafe_counter>
{
public:
    virtual ~ClientConnection() = default;

    /// @brief Sends a request; only while isIdle().
    virtual void send(ClientRequest send) = 0;
    /// @brief Moves the time at which a silent request under way is given up.
    virtual void setDeadline(base::Time deadline) = 0;
    /// @brief Closes; no hook is called afterwards.
    virtual void close() = 0;
    /// @brief Whether the next request may be sent.
    virtual bool isIdle() const = 0;
    /// @brief Sets what is called when the connection ends while it is idle.
    virtual void setOnIdleClose(std::function<void()> hook) = 0;
};

using ClientConnectionPointer = boost::intrusive_ptr<ClientConnection>;

/// @brief Opens a connection.
/// @param context runs all hooks
/// @param to where to connect
/// @param deadline when to give up
/// @param onOpen gets the connection, or null; called exactly once, never before the function returns
void openConnection(boost::asio::io_context &context, const base::Address &to, base::Time deadline, std::function<void(ClientConnectionPointer)> onOpen);

} // namespace turmericplank::net
