#pragma once

#include <map>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "turmericplank/peer/http2session.hpp"
#include "turmericplank/peer/mesh.hpp"

namespace turmericplank::peer {

/// @brief The connection to one other daemon and the calls on it; connects on demand.
class OutgoingConnection : public boost::intrusive_ref_counter<OutgoingConnection, boost::thread_unsafe_counter>
{
public:
    /// @param context runs all callbacks
    /// @param to address of the other daemon
    /// @param options timeouts, and the id of this daemon
    /// @param byteCounter incremented by the bytes sent and received; must outlive the connection
    OutgoingConnection(boost::asio::io_context &context, base::Address to, const MeshOptions &options, std::uint64_t &byteCounter);

    /// @brief Makes a call; its onEnd is called exactly once.
    void call(PeerCall call);
    /// @brief Closes the connection; calls in progress end with PeerFailure::OutcomeUnknown. Calls that wait for a connection are not affected.
    void close();

private:
    struct Pending;
    using PendingPointer = std::shared_ptr<Pending>;
    using Pointer = boost::intrusive_ptr<OutgoingConnection>;

    void connect();
    void onConnected(boost::asio::ip::tcp::socket socket);
    void send(const PendingPointer &pending);
    void cancel(const PendingPointer &pending);
    void armTimer(const PendingPointer &pending);
    void armIdleTimer();
    void finish(const PendingPointer &pending, tl::expected<void, PeerFailure> result);
    Http2Callbacks makeCallbacks(std::uint64_t generation);
    void onStreamClosed(std::int32_t streamId, std::uint32_t errorCode);
    void onSessionClosed();

    boost::asio::io_context &m_context;
    base::Address m_to;
    MeshOptions m_options;
    std::uint64_t &m_byteCounter;
    boost::intrusive_ptr<Http2Session> m_session;
    boost::asio::steady_timer m_idleTimer;
    base::Time m_lastCallAt;
    std::uint64_t m_generation = 0; ///< incremented when a connection opens or closes, to ignore events of earlier ones
    bool m_isConnecting = false;
    std::vector<PendingPointer> m_queuedCalls; ///< calls waiting for the connection
    std::map<std::int32_t, PendingPointer> m_streams; ///< calls in progress by stream id
};

} // namespace turmericplank::peer
