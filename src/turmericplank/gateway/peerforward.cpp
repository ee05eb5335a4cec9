#include "turmericplank/gateway/peerforward.hpp"

#include <utility>

namespace turmericplank::gateway {

namespace {

constexpr const char *ForwardKind = "gateway/forward";

} // namespace

PeerForward::PeerForward(peer::Mesh &mesh, std::vector<ForwardTarget> targets, PeerForwardRequest request, base::Time deadline, PeerForwardCallbacks callbacks)
    : m_mesh(mesh)
    , m_targets(std::move(targets))
    , m_request(std::move(request))
    , m_deadline(deadline)
    , m_callbacks(std::move(callbacks))
{
    m_reader.onHead = [this](PeerForwardHead head) {
        if (!m_isFinished) {
            m_callbacks.onHead(std::move(head));
        }
    };
    m_reader.onBody = [this](std::string body) {
        if (!m_isFinished) {
            m_callbacks.onBody(std::move(body));
        }
    };
}

void PeerForward::start()
{
    tryNext();
}

void PeerForward::tryNext()
{
    const auto &target = m_targets[m_next++];
    m_isAtTarget = true;
    onTargetBegin(target.id);
    peer::PeerCall call;
    call.kind = ForwardKind;
    const auto now = base::now();
    call.body = encode(m_request, now); // for each target, since the time that is left shrinks
    call.timeout = m_deadline - now;
    call.cancel = std::make_shared<std::function<void()>>();
    m_cancel = call.cancel;
    call.setReadingPaused = std::make_shared<std::function<void(bool)>>();
    m_setReadingPaused = call.setReadingPaused;
    const auto self = shared_from_this();
    call.onChunk = [self](std::string_view chunk) {
        self->handleChunk(chunk);
    };
    call.onEnd = [self](const tl::expected<void, peer::PeerFailure> &result) {
        self->handleEnd(result);
    };
    m_mesh.call(target.peerAddress, std::move(call));
}

void PeerForward::handleChunk(std::string_view chunk)
{
    const auto self = shared_from_this(); // the callbacks may release the last other pointer
    if (!m_isFinished && !m_reader.feed(chunk)) {
        (*m_cancel)();
        finish(PeerForwardEnd::Unknown);
    }
}

void PeerForward::handleEnd(const tl::expected<void, peer::PeerFailure> &result)
{
    const auto self = shared_from_this();
    if (m_isFinished) {
        return;
    }
    if (result) {
        finish(m_reader.isComplete() ? PeerForwardEnd::Complete : PeerForwardEnd::Unknown);
        return;
    }
    if (result.error() == peer::PeerFailure::OutcomeUnknown) {
        finish(PeerForwardEnd::Unknown);
        return;
    }
    if (onTargetRefused) {
        onTargetRefused(m_targets[m_next - 1].id);
    }
    if (m_next < m_targets.size() && base::now() < m_deadline) {
        endTarget();
        tryNext();
    } else {
        finish(PeerForwardEnd::NotProcessed);
    }
}

void PeerForward::cancel()
{
    if (std::exchange(m_isFinished, true)) {
        return;
    }
    endTarget();
    if (m_cancel && *m_cancel) {
        (*m_cancel)();
    }
}

void PeerForward::setReadingPaused(bool isPaused)
{
    if (!m_isFinished && m_setReadingPaused && *m_setReadingPaused) {
        (*m_setReadingPaused)(isPaused);
    }
}

std::size_t PeerForward::askedPeers() const
{
    return m_next;
}

void PeerForward::endTarget()
{
    if (std::exchange(m_isAtTarget, false)) {
        onTargetEnd(m_targets[m_next - 1].id);
    }
}

void PeerForward::finish(PeerForwardEnd end)
{
    m_isFinished = true;
    endTarget();
    const auto onEnd = std::exchange(m_callbacks, {}).onEnd;
    onEnd(end);
}

} // namespace turmericplank::gateway
