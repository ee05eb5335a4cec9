#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "turmericplank/discovery/endpointcatalog.hpp"
#include "turmericplank/gateway/call.hpp"
#include "turmericplank/gateway/peernotice.hpp"
#include "turmericplank/routes/routetable.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::gateway {

/// @brief Name under which the router knows a model, an adapter or a whole plain service.
/// @param service the service that the call goes to
/// @param model as the caller wrote it; empty for the service itself
base::ModelName workName(const base::ServiceName &service, const base::ModelName &model);

/// @brief Fingerprints of the prefixes of a call's prompt, for the router.
routing::PrefixChain prefixesOf(const base::ModelName &work, const std::vector<PromptPart> &prompt);

/// @brief What this daemon believes of the site: routes, endpoints and what the engines hold.
///
/// What an engine holds is told by its entry in the platform's table, a heartbeat and a read late, and by the daemon that
/// gives it orders. For the time that an entry may lag, the latter counts.
class Fleet
{
public:
    /// @param router learns of every change
    explicit Fleet(routing::Router &router);

    /// @brief Takes a configuration; an older one than that in force is ignored.
    /// @return whether it is in force now and was not before
    bool takeConfiguration(const std::shared_ptr<const routes::SiteConfiguration> &configuration, base::Time now);

    /// @brief Takes a whole read of the endpoints' entries.
    std::vector<discovery::EndpointChange> takeEntries(const std::vector<discovery::EndpointEntry> &entries, base::Time now);

    /// @brief Takes what a daemon knows of an engine from its orders.
    /// @return whether it was news
    bool takeEngine(const EngineNotice &notice, base::Time now);

    /// @brief Another daemon has read that endpoints leave.
    void takeLeaving(const std::vector<LeavingEndpoint> &endpoints, base::Time now);

    /// @brief Routes in force; null before the first configuration.
    const std::shared_ptr<const routes::RouteTable> &routes() const;

    /// @brief Endpoints that are not gone.
    const std::map<base::EndpointId, discovery::EndpointEntry> &endpoints() const;

    /// @brief Whether an endpoint leaves, by its entry or by what another daemon has read.
    bool isLeaving(const base::EndpointId &id) const;

    /// @brief When the endpoints' entries were last read.
    std::optional<base::Time> lastRead() const;

    /// @brief Endpoints whose entries say that they leave, or that were gone a moment ago.
    std::vector<LeavingEndpoint> leavingEndpoints(base::Time now) const;

    /// @brief When entries that may have lapsed during an outage of the table are given up; in the past if none are kept.
    base::Time keepsMissingUntil() const;

    /// @brief What an engine holds, by the newest source.
    const EngineNotice *engine(const base::EndpointId &id) const;

private:
    void applyEndpoints(base::Time now);
    void applyModels();
    void applyEngine(const discovery::EndpointEntry &entry, base::Time now);

    routing::Router &m_router;
    std::shared_ptr<const routes::RouteTable> m_routes;
    discovery::EndpointCatalog m_catalog;
    struct Engine
    {
        EngineNotice notice; ///< newest of this incarnation by its count of orders
        base::Time entryCountsFrom; ///< what the entry says by then includes the orders of the notice
    };

    std::map<base::EndpointId, Engine> m_engines;
    std::map<LeavingEndpoint, base::Time> m_heardLeaving; ///< until when what another daemon read counts
    std::map<LeavingEndpoint, base::Time> m_gone; ///< until when the others are told
};

} // namespace turmericplank::gateway
