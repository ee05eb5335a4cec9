#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "turmericplank/gateway/peerforwardmessage.hpp"
#include "turmericplank/gateway/peers.hpp"
#include "turmericplank/peer/mesh.hpp"

namespace turmericplank::gateway {

/// @brief How a call that was forwarded to a peer has ended.
enum class PeerForwardEnd {
    Complete, ///< the whole response was received
    NotProcessed, ///< no peer has taken the call
    Unknown, ///< the peer was lost; the call may have run
};

/// @brief Callbacks of a call that is forwarded to a peer; none of them is called before forwarding returns, or after cancel().
struct PeerForwardCallbacks
{
    std::function<void(PeerForwardHead)> onHead;
    std::function<void(std::string)> onBody;
    std::function<void(PeerForwardEnd)> onEnd; ///< called last
};

/// @brief A call that is forwarded to a peer, or to the next one as long as none has taken it.
class PeerForward : public std::enable_shared_from_this<PeerForward>
{
public:
    /// @param targets in the order in which they are tried
    /// @param request its deadline is the one that the target is told
    /// @param deadline for the whole response
    PeerForward(peer::Mesh &mesh, std::vector<ForwardTarget> targets, PeerForwardRequest request, base::Time deadline, PeerForwardCallbacks callbacks);

    /// @brief Sends the call to the first target.
    void start();

    /// @brief Ends the call; the peer is told.
    void cancel();

    /// @brief Stops reading the response, so that the peer stops reading it from its endpoint, or goes on.
    void setReadingPaused(bool isPaused);

    /// @brief Number of peers that the call was sent to so far.
    std::size_t askedPeers() const;

    std::function<void(const base::DaemonId &)> onTargetBegin; ///< the call is sent to a peer
    std::function<void(const base::DaemonId &)> onTargetEnd; ///< the call has ended at that peer
    std::function<void(const base::DaemonId &)> onTargetRefused; ///< that peer has not taken the call; may be empty

private:
    void tryNext();
    void handleChunk(std::string_view chunk);
    void handleEnd(const tl::expected<void, peer::PeerFailure> &result);
    void endTarget();
    void finish(PeerForwardEnd end);

    peer::Mesh &m_mesh;
    std::vector<ForwardTarget> m_targets;
    std::size_t m_next = 0;
    PeerForwardRequest m_request;
    base::Time m_deadline;
    PeerForwardCallbacks m_callbacks;
    PeerForwardReader m_reader;
    std::shared_ptr<std::function<void()>> m_cancel;
    std::shared_ptr<std::function<void(bool)>> m_setReadingPaused;
    bool m_isAtTarget = false;
    bool m_isFinished = false;
};

} // namespace turmericplank::gateway
