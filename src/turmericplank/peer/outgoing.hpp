#pragma once

#include <map>
#include <memory>
#include <vector>

#include "turmericplank/peer/http2session.hpp"
#include "turmericplank/peer/mesh.hpp"

namespace turmericplank::peer {

/// @brief The connection to one other daemon and the calls on it; connects when there is something to send.
class Outgoing : public boost::intrusive_ref_counter<Outgoing, boost::thread_unsafe_counter>
{
public:
    /// @param context runs all hooks
    /// @param to the other daemon
    /// @param options deadlines
    /// @param byteCounter counts transferred bytes; outlives this
    Outgoing(boost::asio::io_context &context, base::Address to, const MeshOptions &options, std::uint64_t &byteCounter);

    /// @brief Makes a call; its onEnd is called exactly once.
    void call(PeerCall call);
    /// @brief Closes the connection; calls in progress end as lost.
    void close();

private:
    struct Pending;
    using PendingPointer = std::shared_ptr<Pending>;
    using Pointer = boost::intrusive_ptr<Outgoing>;

    void connect();
    void onConnected(boost::asio::ip::tcp::socket socket);
    void send(const PendingPointer &pending);
    void watch(const PendingPointer &pending);
    void finish(const PendingPointer &pending, tl::expected<void, PeerFailure> result);
    Http2Hooks makeHooks(std::uint64_t generation);
    void onStreamClosed(std::int32_t stream, std::uint32_t errorCode);
    void onSessionClosed();

    boost::asio::io_context &m_context;
    base::Address m_to;
    MeshOptions m_options;
    std::uint64_t &m_byteCounter;
    boost::intrusive_ptr<Http2Session> m_session;
    std::uint64_t m_generation = 0; ///< tells a connection's events from those of its predecessors
    bool m_isConnecting = false;
    std::vector<PendingPointer> m_waiting;
    std::map<std::int32_t, PendingPointer> m_streams;
};

} // namespace turmericplank::peer
