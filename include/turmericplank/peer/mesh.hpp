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

/// @brief Why a call to another daemon brought no whole answer.
enum class PeerFailure {
    NotProcessed, ///< the other daemon never saw it, or refused the stream before any work
    OutcomeUnknown, ///< it may have been processed
};

/// @brief Answers one call of another daemon; held by the handler until the answer has ended.
struct PeerResponder
{
    std::function<void(std::string piece)> write; ///< sends a part of the answer
    std::function<void()> end; ///< ends the answer
    std::function<void()> reject; ///< refuses the stream, which proves to the caller that nothing was done
    std::shared_ptr<std::function<void()>> onCancelled; ///< set by the handler; called if the other daemon cancels
};

/// @brief A call to another daemon over an nghttp2 stream of the one connection to it.
struct PeerCall
{
    std::string kind; ///< slice and message, for example membership/heartbeat
    std::string body; ///< msgpack of a typed message
    base::Duration timeout = std::chrono::seconds(2); ///< without any byte of the answer
    std::function<void(std::string_view piece)> onChunk; ///< parts of the answer as they come
    std::function<void(tl::expected<void, PeerFailure>)> onEnd; ///< called exactly once
};

/// @brief Limits of the mesh.
struct MeshOptions
{
    base::Address listen;
    base::DaemonId self;
    base::Duration pingInterval = std::chrono::seconds(1);
    base::Duration pingTimeout = std::chrono::seconds(3); ///< an unanswered ping closes the connection
    std::size_t maxBodyBytes = 4 * 1024 * 1024; ///< bytes of a call's body
};

/// @brief Connections to all other daemons of the cell.
class Mesh
{
public:
    virtual ~Mesh() = default;

    /// @brief Registers what answers a kind of call; the body is complete when it is called.
    virtual void handle(const std::string &kind, std::function<void(base::DaemonId from, std::string body, PeerResponder answer)> handler) = 0;

    /// @brief Calls the daemon at an address; a connection is made when there is none.
    virtual void call(const base::Address &to, PeerCall call) = 0;

    /// @brief Refuses new streams and lets those in progress end.
    virtual void beginShutdown() = 0;

    /// @brief Bytes sent and received since the start, for the budget of control traffic.
    virtual std::uint64_t bytesTransferred() const = 0;
};

/// @brief Starts listening for other daemons.
/// @param context runs all hooks
/// @param options addresses and deadlines
/// @throws boost::system::system_error if the address cannot be bound
std::unique_ptr<Mesh> openMesh(boost::asio::io_context &context, MeshOptions options);

} // namespace turmericplank::peer
