#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <random>

#include "turmericplank/gateway/forwarder.hpp"
#include "turmericplank/gateway/peercontact.hpp"
#include "turmericplank/gateway/peerforward.hpp"

namespace turmericplank::gateway {

/// @brief Forwards calls of a daemon that does not reach their endpoints to peers, and takes such calls from peers.
///
/// One hop only: a call that comes from a peer is sent to an endpoint or refused.
class PeerForwarder
{
public:
    /// @param mesh gets the handler of the calls of peers; must outlive this object and the calls
    /// @param forwarder sends the calls of peers to endpoints
    /// @param contact of daemons outside the group
    PeerForwarder(peer::Mesh &mesh, Peers &peers, PeerContact &contact, Forwarder &forwarder, const SiteState &siteState, const ConnectionPool &pool,
                  telemetry::Metrics &metrics, std::mt19937_64 &random);
    ~PeerForwarder();

    /// @brief Forwards a call of a service.
    /// @return null if no peer may have contact to endpoints of the service; no callback is called then
    std::shared_ptr<PeerForward> forward(const base::ServiceName &service, const PeerForwardRequest &request, PeerForwardCallbacks callbacks);

private:
    using CallCounts = std::map<base::DaemonId, std::size_t>;

    std::vector<ForwardTarget> targets(const base::ServiceName &service, base::Time now);
    void sortByLoad(std::vector<ForwardTarget> &targets, bool isZonePreferred);
    bool mayServe(const PeerForwardRequest &request, base::Time now) const;
    void handleRequest(const base::DaemonId &from, const std::string &body, const peer::PeerResponder &responder);

    peer::Mesh &m_mesh;
    Peers &m_peers;
    PeerContact &m_contact;
    Forwarder &m_forwarder;
    const SiteState &m_siteState;
    const ConnectionPool &m_pool;
    telemetry::Metrics &m_metrics;
    std::mt19937_64 &m_random;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< shared with calls of peers, which the mesh may end later
    std::shared_ptr<CallCounts> m_inProgress = std::make_shared<CallCounts>(); ///< calls forwarded to each peer; shared with the calls
};

} // namespace turmericplank::gateway
