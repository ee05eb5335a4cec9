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
constexpr std::size_t MaxKnownTargets = 3; ///< of one call; daemons that are known to reach its service, asked one after the other
constexpr std::size_t MaxUnknownTargets = 3; ///< of one call; daemons of which nothing is known, asked after those
constexpr auto ReturnTime = std::chrono::milliseconds(20); ///< of the peer's last answer, so that it comes before the deadline here

} // namespace

PeerForwarder::PeerForwarder(peer::Mesh &mesh, Peers &peers, PeerContact &contact, Forwarder &forwarder, const SiteState &siteState, const ConnectionPool &pool,
                             telemetry::Metrics &metrics, std::mt19937_64 &random)
    : m_mesh(mesh)
    , m_peers(peers)
    , m_contact(contact)
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

/// Daemons that are known to have contact come first. Until the lease holder has told of some outside the group, a few others are asked.
std::vector<ForwardTarget> PeerForwarder::targets(const base::ServiceName &service, base::Time now)
{
    const auto candidates = m_peers.forwardTargets(service);
    const auto daemonsWith = m_contact.daemonsWith(service, now);
    std::vector<ForwardTarget> known;
    std::vector<ForwardTarget> unknown;
    for (const auto *list : {&candidates.inGroup, &candidates.outside}) {
        for (const auto &it : *list) {
            if (!m_contact.hasRefused(it.id, service, now)) {
                const bool isKnown = list == &candidates.inGroup || daemonsWith.contains(it.id);
                (isKnown ? known : unknown).push_back(it);
            }
        }
    }
    sortByLoad(known, !candidates.isGroupShort);
    sortByLoad(unknown, false);
    known.resize(std::min(known.size(), MaxKnownTargets));
    unknown.resize(std::min(unknown.size(), MaxUnknownTargets));
    known.insert(known.end(), unknown.begin(), unknown.end());
    return known;
}

/// Peers with few calls of this daemon come first, so that none takes all of them.
void PeerForwarder::sortByLoad(std::vector<ForwardTarget> &targets, bool isZonePreferred)
{
    std::ranges::shuffle(targets, m_random);
    std::ranges::stable_sort(targets, {}, [&](const ForwardTarget &it) {
        const auto calls = m_inProgress->find(it.id);
        const bool isPenalized = isZonePreferred && !it.isInZone;
        return (calls == m_inProgress->end() ? 0 : calls->second) + (isPenalized ? OtherZonePenalty : 0);
    });
}

std::shared_ptr<PeerForward> PeerForwarder::forward(const base::ServiceName &service, const PeerForwardRequest &request, PeerForwardCallbacks callbacks)
{
    const auto now = base::now();
    auto found = targets(service, now);
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
    call->onTargetRefused = [this, isAlive = m_isAlive, service](const base::DaemonId &id) {
        if (*isAlive) {
            m_contact.noteRefusal(id, service, base::now());
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
    const auto service = m_forwarder.serviceOf(request->request);
    const auto isCutOff = [this, isAlive = m_isAlive, service] {
        return *isAlive && service && m_pool.contact().isCutOff(*service);
    };
    const bool isTaken = mayServe(*request, now) && !isCutOff();
    m_metrics.count(isTaken ? "calls_from_peers_total{taken=\"yes\"}" : "calls_from_peers_total{taken=\"no\"}");
    if (!isTaken) {
        responder.reject();
        return;
    }
    const net::ExchangePointer exchange(new PeerForwardExchange(std::move(request->request), responder, m_isAlive, isCutOff));
    m_forwarder.handleCall(exchange, CallLimits{request->deadline, request->maxSends});
}

bool PeerForwarder::mayServe(const PeerForwardRequest &request, base::Time now) const
{
    return m_forwarder.acceptsCalls() && m_siteState.routes()->configuration().revision >= request.revision && now < request.deadline;
}

} // namespace turmericplank::gateway
