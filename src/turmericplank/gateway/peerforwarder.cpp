#include "turmericplank/gateway/peerforwarder.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "peerforwardexchange.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

constexpr const char *ForwardKind = "gateway/forward";
constexpr std::size_t OtherZonePenalty = 2; ///< calls that a peer of this zone may have more before one of another zone is taken, since bytes cost more there
constexpr auto ReturnTime = std::chrono::milliseconds(20); ///< of the peer's last answer, so that it comes before the deadline here

} // namespace

PeerForwarder::PeerForwarder(peer::Mesh &mesh, Peers &peers, Forwarder &forwarder, const SiteState &siteState, const ConnectionPool &pool,
                             telemetry::Metrics &metrics, std::mt19937_64 &random)
    : m_mesh(mesh)
    , m_peers(peers)
    , m_forwarder(forwarder)
    , m_siteState(siteState)
    , m_pool(pool)
    , m_metrics(metrics)
    , m_random(random)
{
    m_mesh.handle(ForwardKind,
                  [this](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &responder) { handleRequest(from, body, responder); });
}

PeerForwarder::~PeerForwarder()
{
    *m_isAlive = false;
}

/// Peers with few calls of this daemon come first, so that none takes all of them.
std::vector<ForwardTarget> PeerForwarder::targets()
{
    auto found = m_peers.forwardTargets();
    std::ranges::shuffle(found, m_random);
    std::ranges::stable_sort(found, {}, [this](const ForwardTarget &it) {
        const auto calls = m_inProgress->find(it.id);
        return (calls == m_inProgress->end() ? 0 : calls->second) + (it.isInZone ? 0 : OtherZonePenalty);
    });
    return found;
}

std::shared_ptr<PeerForward> PeerForwarder::forward(const PeerForwardRequest &request, PeerForwardCallbacks callbacks)
{
    auto found = targets();
    const auto now = base::now();
    if (found.empty() || now + ReturnTime >= request.deadline) {
        return nullptr;
    }
    auto sent = request;
    sent.deadline -= ReturnTime;
    const auto call = std::make_shared<PeerForward>(m_mesh, std::move(found), std::move(sent), request.deadline, std::move(callbacks));
    call->onTargetBegin = [counts = m_inProgress](const base::DaemonId &id) {
        ++(*counts)[id];
    };
    call->onTargetEnd = [counts = m_inProgress](const base::DaemonId &id) {
        if (--(*counts)[id] == 0) {
            counts->erase(id);
        }
    };
    m_metrics.count("calls_forwarded_to_peers_total");
    call->start();
    return call;
}

void PeerForwarder::handleRequest(const base::DaemonId &from, const std::string &body, const peer::PeerResponder &responder)
{
    const auto now = base::now();
    auto request = decodePeerForwardRequest(body, now);
    if (!request) {
        telemetry::log(LogLevel::Warning, "peers", "cannot decode a forwarded call", {{"daemon", from.text()}, {"bytes", std::uint64_t(body.size())}});
        responder.reject();
        return;
    }
    const bool mayServe = m_forwarder.acceptsCalls() && !m_pool.contact().isCutOff() && now < request->deadline
        && m_siteState.routes()->configuration().revision >= request->revision;
    m_metrics.count(mayServe ? "calls_from_peers_total{taken=\"yes\"}" : "calls_from_peers_total{taken=\"no\"}");
    if (!mayServe) {
        responder.reject();
        return;
    }
    const net::ExchangePointer exchange(new PeerForwardExchange(std::move(request->request), responder, m_isAlive));
    m_forwarder.handleCall(exchange, CallLimits{request->deadline, request->maxSends});
}

} // namespace turmericplank::gateway
