#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::peer {

/// @brief Why a call to another daemon ended without a complete response.
enum class PeerFailure {
    NotProcessed, ///< the other daemon did not receive the call, or rejected the stream before doing any work
    OutcomeUnknown, ///< the other daemon may have processed the call
};

/// @brief Sends the response to a call of another daemon; the handler holds it until the response has ended.
struct PeerResponder
{
    std::function<void(std::string chunk)> write; ///< sends a chunk of the response
    std::function<void()> end; ///< ends the response
    std::function<void()> reject; ///< rejects the stream; tells the calling daemon that nothing was processed, unless write() was called before
    std::function<std::size_t()> queuedBytes; ///< of the response that the calling daemon has no room for yet
    std::shared_ptr<std::function<void()>> onCancelled; ///< set by the handler; called if the calling daemon cancels or the connection closes
    std::shared_ptr<std::function<void()>> onWritten; ///< set by the handler; called each time bytes of the response have been sent
};

/// @brief A call to another daemon, sent as one HTTP/2 stream. All calls to a daemon share one connection.
struct PeerCall
{
    std::string kind; ///< component and message, for example membership/heartbeat
    std::string body; ///< message encoded as MessagePack
    base::Duration timeout = std::chrono::seconds(2); ///< maximum time to the first chunk of the response and between chunks
    std::function<void(std::string_view chunk)> onChunk; ///< called with each chunk of the response
    std::function<void(tl::expected<void, PeerFailure>)> onEnd; ///< called exactly once, unless the call is cancelled first
    /// If not null, gets the function that cancels the call: the other daemon is told, and no callback is called afterwards.
    std::shared_ptr<std::function<void()>> cancel;
    /// If not null, gets the function that stops reading the response, so that the other daemon stops sending it, or goes on. What is on its way
    /// still comes, at most 64 KiB.
    std::shared_ptr<std::function<void(bool isPaused)>> setReadingPaused;
};

/// @brief Limits of the mesh.
struct MeshOptions
{
    base::Address listen;
    base::DaemonId self;
    base::Duration pingInterval = std::chrono::seconds(1); ///< a ping is sent when nothing was received for this long
    base::Duration pingTimeout = std::chrono::seconds(3); ///< the connection is closed when nothing was received for this long
    base::Duration maxIdleTime = std::chrono::seconds(10); ///< an outgoing connection without calls for longer is closed, which ends its pings
    std::size_t maxBodyBytes = 4 * 1024 * 1024; ///< of an incoming call; a larger call is rejected as not processed
};

/// @brief Connections to the other daemons of the cell.
class Mesh
{
public:
    virtual ~Mesh() = default;

    /// @brief Registers the handler for a kind of call; it is called with the complete body.
    virtual void handle(const std::string &kind, std::function<void(base::DaemonId from, std::string body, PeerResponder responder)> handler) = 0;

    /// @brief Calls the daemon at an address; connects first if there is no connection.
    virtual void call(const base::Address &to, PeerCall call) = 0;

    /// @brief Rejects new streams and lets those in progress finish.
    virtual void beginShutdown() = 0;

    /// @brief Bytes sent and received since the start, to compare control traffic with its budget.
    virtual std::uint64_t bytesTransferred() const = 0;
};

/// @brief Starts listening for other daemons.
/// @param context runs all callbacks
/// @param options addresses, timeouts and limits
/// @throws boost::system::system_error if the address cannot be bound
std::unique_ptr<Mesh> openMesh(boost::asio::io_context &context, MeshOptions options);

} // namespace turmericplank::peer
