#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "turmericplank/discovery/endpointcatalog.hpp"
#include "turmericplank/gateway/call.hpp"
#include "turmericplank/gateway/peerstatus.hpp"
#include "turmericplank/routes/routetable.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::gateway {

/// @brief Name of a model, an adapter or a plain service in the router: SERVICE:MODEL, or SERVICE alone.
/// @param service the service that the call goes to
/// @param model as given by the caller; empty for a plain service
base::ModelName qualifiedModelName(const base::ServiceName &service, const base::ModelName &model);

/// @brief Fingerprints of the prefixes of a call's prompt, for the router.
/// @param model qualified name of the model
routing::PrefixChain promptPrefixes(const base::ModelName &model, const std::vector<PromptPart> &prompt);

/// @brief Times for which SiteState believes other daemons rather than entries. Entries are applied within the drain time after a change.
struct SiteStateOptions
{
    discovery::CatalogOptions catalog;
    /// Upper bound of the time from an engine's order until the entry that includes it is applied: a heartbeat and the drain time.
    base::Duration maxEntryLag = std::chrono::milliseconds(3200);
    /// Of a report that an endpoint is draining or was removed; until it ends, this daemon's own entries confirm or refute it.
    base::Duration reportLifetime = std::chrono::seconds(3);
};

/// @brief This daemon's view of the site: routes, endpoints and the models resident on each engine.
///
/// Resident models are reported by the engine's entry in the platform's table, which lags by a heartbeat and a read, and by
/// the daemon that orders loads. The latter takes precedence for as long as an entry may lag.
class SiteState
{
public:
    /// @param router is informed of every change
    explicit SiteState(routing::Router &router, SiteStateOptions options = {});

    /// @brief Puts a configuration in force unless it is older than the current one.
    /// @return whether the configuration in force has changed
    bool applyConfiguration(const std::shared_ptr<const routes::SiteConfiguration> &configuration, base::Time now);

    /// @brief Applies all endpoint entries of one read.
    /// @return changes since the last read
    std::vector<discovery::EndpointChange> applyEntries(const std::vector<discovery::EndpointEntry> &entries, base::Time now);

    /// @brief Applies an engine's state as reported by the daemon that orders its loads.
    /// @return whether the state was newer than the known one
    bool applyEngineUpdate(const EngineUpdate &update, base::Time now);

    /// @brief Notes that this daemon's read of the entries has failed, so that the table may be out of service.
    void noteReadFailed();

    /// @brief Notes that the table of endpoints has come back from an older copy.
    void noteStoreRestored(base::Time now);

    /// @brief Marks an incarnation as draining for good, since it said so in an answer of its own.
    /// @return whether this was not known before
    bool noteLeavingAnswer(const DrainingEndpoint &endpoint, base::Time now);

    /// @brief Marks endpoints as draining for the lifetime of a report, since another daemon reports that they are draining or were removed.
    void applyDraining(const std::vector<DrainingEndpoint> &endpoints, base::Time now);

    /// @brief Routes in force; null before the first configuration.
    const std::shared_ptr<const routes::RouteTable> &routes() const;

    /// @brief When the routes in force took effect; meaningless before the first configuration.
    base::Time routesSince() const;

    /// @brief Endpoints that have not been removed.
    const std::map<base::EndpointId, discovery::EndpointEntry> &endpoints() const;

    /// @brief Whether an endpoint is draining, according to its entry, its own answers or another daemon.
    bool isDraining(const base::EndpointId &id) const;

    /// @brief Time of the last read of the endpoints' entries.
    std::optional<base::Time> lastReadTime() const;

    /// @brief Endpoints that are draining or were removed recently, to be reported to the other daemons.
    std::vector<DrainingEndpoint> drainingEndpoints(base::Time now) const;

    /// @brief Until when entries are kept that may have expired during an outage of the table; in the past if none are kept.
    base::Time missingEntriesKeptUntil() const;

    /// @brief Models resident on an engine, by the newest source; null if the engine is unknown.
    const EngineUpdate *engine(const base::EndpointId &id) const;

private:
    void updateEndpoints(base::Time now);
    void setRouterModels();
    void reportToRouter(const discovery::EndpointEntry &entry, base::Time now);

    routing::Router &m_router;
    SiteStateOptions m_options;
    std::shared_ptr<const routes::RouteTable> m_routes;
    base::Time m_routesSince;
    discovery::EndpointCatalog m_catalog;
    struct Engine
    {
        EngineUpdate update; ///< of this incarnation, with the highest number of accepted orders
        base::Time entryValidFrom; ///< from when the entry includes the orders that the update reports
    };

    std::map<base::EndpointId, Engine> m_engines;
    /// Have said in an answer to this daemon that they are leaving; with the time until which a missing entry may come back.
    std::map<DrainingEndpoint, base::Time> m_selfDeclared;
    std::map<DrainingEndpoint, base::Time> m_reportedDraining; ///< reported by other daemons, with the time at which the report expires
    std::map<DrainingEndpoint, base::Time> m_recentlyRemoved; ///< with the time until which the removal is reported to the others
};

} // namespace turmericplank::gateway
