#include "forwardedcall.hpp"

#include <algorithm>
#include <utility>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using forwarding::SendResult;
using telemetry::LogLevel;

constexpr int FirstFailureStatus = 500;

} // namespace

/// Forwards the call to a daemon that may reach endpoints which this one does not reach.
/// @return false if that is not possible; true also if the call has ended, since its caller has left
bool ForwardedCall::forwardToPeer()
{
    const bool mayRunThere = !m_attempts.mayHaveRun() || m_route.kind.mayRunAgain();
    const auto sendsLeft = m_attempts.sendsLeft();
    if (m_isFromPeer || m_isForwarded || m_isStreaming || !mayRunThere || sendsLeft == 0) {
        return false;
    }
    if (endIfCallerLeft()) {
        return true;
    }
    // The mesh, which ends after the forwarder, may call back once the forwarder has ended.
    const auto guard = [self = Pointer(this), isAlive = m_forwarder.m_isAlive] {
        return *isAlive && !self->m_isFinished;
    };
    PeerForwardCallbacks callbacks;
    callbacks.onHead = [self = this, guard](PeerForwardHead head) {
        if (guard()) {
            self->handlePeerHead(std::move(head));
        }
    };
    callbacks.onBody = [self = this, guard](std::string body) {
        if (guard()) {
            self->handlePeerBody(std::move(body));
        }
    };
    callbacks.onEnd = [self = this, guard](PeerForwardEnd end) {
        if (guard()) {
            self->handlePeerEnd(end);
        }
    };
    const auto &dependencies = m_forwarder.m_dependencies;
    const PeerForwardRequest request{m_exchange->request(), m_routes->configuration().revision, m_attempts.deadline(), sendsLeft};
    auto peerForward = dependencies.forwardToPeer(m_service, request, std::move(callbacks));
    if (!peerForward) {
        return false;
    }
    unlink();
    m_attempt.reset();
    m_isForwarded = true;
    m_peerForward = std::move(peerForward);
    if (m_forwarder.m_peerLineBudget.tryAcquire(base::now())) {
        telemetry::log(LogLevel::Info, "requests", "forwards to a peer",
                       {{"request", m_call.id},
                        {"work", m_qualifiedModel.text()},
                        {"unreachable", std::uint64_t(dependencies.pool.contact().unreachableCount(m_service))},
                        {"endpoints", std::uint64_t(dependencies.pool.contact().endpointCount(m_service))},
                        {"sends", static_cast<int>(m_attempts.sends())},
                        {"after_ms", base::millisecondsBetween(m_arrivedAt, base::now())}});
    }
    return true;
}

void ForwardedCall::handlePeerHead(PeerForwardHead head)
{
    if (!head.isStream) {
        m_peerHead = std::move(head);
        return;
    }
    m_isStreaming = true;
    m_firstEventAt = base::now();
    m_lastEventAt = m_firstEventAt;
    m_exchange->startStream(head.status, std::move(head.headers));
    startPacing();
}

void ForwardedCall::handlePeerBody(std::string body)
{
    if (!m_isStreaming) {
        m_peerBody += body;
        return;
    }
    const auto now = base::now();
    m_maxEventGap = std::max(m_maxEventGap, now - std::exchange(m_lastEventAt, now));
    m_exchange->writeChunk(std::move(body));
    paceReading();
}

void ForwardedCall::handlePeerEnd(PeerForwardEnd end)
{
    const auto peerForward = std::exchange(m_peerForward, nullptr);
    switch (end) {
    case PeerForwardEnd::NotProcessed:
        telemetry::log(LogLevel::Warning, "requests", "no peer took the call",
                       {{"request", m_call.id},
                        {"work", m_qualifiedModel.text()},
                        {"asked", std::uint64_t(peerForward->askedPeers())},
                        {"after_ms", base::millisecondsBetween(m_arrivedAt, base::now())}});
        waitForEndpoint(forwarding::WaitCause::Full);
        return;
    case PeerForwardEnd::Unknown:
        m_attempts.recordEnd(SendResult::Lost);
        reject(RejectionReason::OutcomeUnknown);
        return;
    case PeerForwardEnd::Complete:
        break;
    }
    if (m_isStreaming) {
        m_exchange->endStream();
        finish("answered_by_peer");
        return;
    }
    const auto status = m_peerHead->status;
    // The peer does not know of the sends of this daemon.
    if (m_attempts.mayHaveRun() && impliesNotRun(status)) {
        reject(RejectionReason::OutcomeUnknown);
        return;
    }
    if (impliesNotRun(status)) {
        giveBackUse();
        // The peer logs why, but its log may be lost with it.
        telemetry::log(LogLevel::Warning, "requests", "refused",
                       {{"request", m_call.id},
                        {"route", m_route.name},
                        {"work", m_qualifiedModel.text()},
                        {"reason", "refused_by_peer"},
                        {"has_run", "no"},
                        {"sends", static_cast<int>(m_attempts.sends())},
                        {"after_ms", base::millisecondsBetween(m_arrivedAt, base::now())},
                        {"status", status}});
    }
    m_exchange->respond({status, std::move(m_peerHead->headers), std::move(m_peerBody)});
    finish(status < FirstFailureStatus ? "answered_by_peer" : "failed_at_peer");
}

} // namespace turmericplank::gateway
