#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/routing/endpointhealth.hpp"
#include "turmericplank/routing/loadestimate.hpp"
#include "turmericplank/routing/loadreport.hpp"
#include "turmericplank/routing/prefixindex.hpp"
#include "turmericplank/routing/routetypes.hpp"

namespace turmericplank::routing {

/// @brief An endpoint that may serve, from the accepted configuration.
struct RoutableEndpoint
{
    base::EndpointId id;
    base::Address address;
    base::ZoneName zone;
    std::uint32_t concurrency = 16; ///< streams that it batches at full speed

    friend auto operator<=>(const RoutableEndpoint &, const RoutableEndpoint &) = default;
    friend bool operator==(const RoutableEndpoint &, const RoutableEndpoint &) = default;
};

/// @brief What membership says of an endpoint.
enum class EndpointStatus {
    Live,
    Suspect, ///< gets work only where no other endpoint can take it
    Leaving, ///< gets nothing new
    Gone, ///< gets nothing; all that is known of it is forgotten
};

/// @brief Expected speed of an endpoint that nothing is known of yet.
struct EngineSpeed
{
    double promptMillisecondsPerToken = 0.1;
    double stepMilliseconds = 12; ///< one step of the batch with a single stream
    double stepMillisecondsPerStream = 0.6;
    double averageAnswerTokens = 150;
    double averagePromptTokens = 600;
    double adapterLoadMilliseconds = 8;
    double cacheMoveMillisecondsPerToken = 0.02; ///< exporting and importing
    double cacheMoveMilliseconds = 10; ///< fixed part
};

/// @brief Options and hooks of a router.
struct RouterOptions
{
    /// One-way time between this daemon and a zone.
    std::function<base::Duration(const base::ZoneName &)> zoneDistance = [](const base::ZoneName &) {
        return base::Duration(0);
    };
    EngineSpeed speed;
    HealthOptions health;
    PrefixIndexOptions prefixes;
    double promptBurden = 15; ///< how much computing a prompt holds up others on a full endpoint, relative to its own time
    double alikeShare = 0.7; ///< of the other daemons that are taken to have sent alike since they were heard
    double streamPenaltyMilliseconds = 0; ///< milliseconds by which each stream of an endpoint speaks against it, for the prompts that it will bring
    bool mayMoveCache = false; ///< whether engines here export and import their cache
    double tieMilliseconds = 4; ///< endpoints this close are told apart by the prompt's first prefix
    base::Duration peerWorkLifetime = std::chrono::milliseconds(2500); ///< age up to which other daemons' words count
    base::Duration attemptLifetime = std::chrono::minutes(10); ///< an attempt whose end was never noted counts this long
    base::Duration retryAfter = std::chrono::milliseconds(500); ///< when a refused request may ask again
    std::size_t candidateLimit = 48; ///< endpoints weighed for one request; more are sampled
};

/// @brief Chooses the endpoint of each request of one daemon.
///
/// Holds what is known of the endpoints: residents, load, cached prefixes, health and marks. It is pure: the present and
/// the random source are passed in.
class Router
{
public:
    explicit Router(RouterOptions options = {});

    /// @brief Takes the configured endpoints; knowledge of those that stay is kept.
    void setEndpoints(const std::vector<RoutableEndpoint> &endpoints);

    /// @brief Takes the configured models, and for each adapter its base model.
    void setModels(const std::vector<base::ModelName> &models, const std::map<base::AdapterName, base::ModelName> &adapters);

    /// @brief Takes an endpoint's load report.
    void noteReport(const base::EndpointId &endpoint, const LoadReport &report, base::Time now);

    /// @brief Takes what membership says of an endpoint.
    void setStatus(const base::EndpointId &endpoint, EndpointStatus mark, base::Time now);

    /// @brief Takes published changes of an endpoint's prefix cache.
    void noteCacheEvents(const base::EndpointId &endpoint, const std::vector<CacheEvent> &events, base::Time now);

    /// @brief Takes another daemon's work from its heartbeat; what it said before of other endpoints stands.
    void notePeerWork(const base::DaemonId &from, const std::vector<EndpointWork> &work, base::Time now);

    /// @brief Sets how much more work there is than this daemon and those that it hears have, on a site that is too large to hear all.
    /// @param factor all daemons over those heard
    void setUnreportedWorkFactor(double factor);

    /// @brief Forgets a daemon that is gone.
    void forgetPeer(const base::DaemonId &from);

    /// @brief This daemon's work, for its heartbeat; endpoints without any are left out.
    std::vector<EndpointWork> ownWork() const;

    /// @brief Chooses an endpoint.
    /// @param request what is asked
    /// @param now the present
    /// @param random breaks ties
    /// @return the choice, or why there is none
    tl::expected<Choice, NoRoute> choose(const RouteRequest &request, base::Time now, std::mt19937_64 &random);

    /// @brief The chosen request was handed to the endpoint.
    void noteSent(const Choice &choice, const RouteRequest &request, base::Time now);

    /// @brief The first token of an attempt came.
    void noteFirstToken(Ticket ticket, base::Time now);

    /// @brief An attempt is over; each sent ticket ends once, later calls are ignored.
    void noteEnded(Ticket ticket, AttemptEnd end, base::Time now);

    /// @brief Drops what has outlived its use; call it about once a second.
    void expire(base::Time now);

    /// @brief Endpoints that are believed to hold a model and may get work, for directing callers.
    std::size_t replicas(const base::ModelName &model) const;

    /// @brief Streams that a model's replicas batch at full speed, all together.
    std::uint32_t streamCapacity(const base::ModelName &model) const;

private:
    struct EndpointState
    {
        RoutableEndpoint endpoint;
        bool isConfigured = false;
        double distanceMilliseconds = 0; ///< one way
        EndpointStatus mark = EndpointStatus::Live;
        bool isLeavingByReport = false;
        base::Incarnation incarnation;
        base::Time reportTakenAt;
        std::vector<base::ModelName> models;
        std::vector<base::AdapterName> adapters;
        LoadEstimate load;
        EndpointHealth health;
    };

    struct Attempt
    {
        EndpointIndex endpoint = 0;
        base::Time sentAt;
        base::Time forgetAt;
        double expectedMilliseconds = 0;
        std::vector<std::uint64_t> prefixes;
        base::ModelName model;
        bool hasFirstToken = false;
    };

    struct Resolved
    {
        base::ModelName model;
        base::AdapterName adapter;
    };

    struct Peer
    {
        base::Time heardAt;
        std::set<EndpointIndex> endpoints;
    };

    struct Cost
    {
        double total = 0; ///< milliseconds to the first token
        double work = 0;
        double prompt = 0;
        double distance = 0;
        double adapter = 0;
        double health = 0;
        double burden = 0; ///< on others; not part of the total
        double tie = 0;
        std::uint32_t cachedTokens = 0;
        std::optional<EndpointIndex> source;
    };

    /// What all candidates of one decision have in common.
    struct Moment
    {
        base::Time now;
        std::uint64_t tieSeed = 0;
        bool isPeerWorkComplete = false;
        double alikeDaemons = 0;
    };

    struct Weighed
    {
        EndpointIndex index = 0;
        Cost cost;
        bool isLate = false; ///< the first token would come after the request's deadline
        int doubt = 0; ///< 0 trusted, 1 probe, 2 suspect or blocked
    };

    static bool isBetter(const Weighed &a, const Weighed &b);
    std::vector<EndpointIndex> usableReplicas(const base::ModelName &model) const;
    std::optional<Resolved> resolve(const base::ModelName &name) const;
    void setResidents(EndpointIndex index, const LoadReport &report);
    void dropResident(EndpointIndex index, const base::ModelName &model);
    void gather(const std::vector<EndpointIndex> &residents, const RouteRequest &request, std::mt19937_64 &random);
    void findCached(const RouteRequest &request, base::Time now);
    std::uint32_t cachedOn(EndpointIndex index) const;
    Weighed weigh(EndpointIndex index, const Resolved &resolved, const RouteRequest &request, const Moment &moment) const;
    double waitMilliseconds(const EndpointState &state, const Work &work, base::Priority priority) const;
    bool isPeerWorkComplete(base::Time now) const;
    void weighPrompt(const RouteRequest &request, const Work &work, double concurrency, Cost &cost) const;
    Choice makeChoice(const Weighed &best, const Weighed *runnerUp, const RouteRequest &request);
    EndpointState *find(const base::EndpointId &id);

    RouterOptions m_options;
    std::unordered_map<base::EndpointId, EndpointIndex> m_indexes;
    std::vector<EndpointState> m_endpoints;
    std::unordered_map<base::ModelName, std::vector<EndpointIndex>> m_residents; ///< every configured model has an entry
    std::unordered_map<base::ModelName, Resolved> m_adapters;
    PrefixIndex m_prefixes;
    std::unordered_map<Ticket, Attempt> m_attempts;
    std::map<base::DaemonId, Peer> m_peers;
    double m_unheardFactor = 1;
    Ticket m_lastTicket = 0;
    std::vector<EndpointIndex> m_candidates; ///< scratch space of choose()
    std::vector<std::pair<EndpointIndex, Prefix>> m_cached; ///< scratch space of choose()
    std::vector<EndpointIndex> m_holders; ///< scratch space of choose()
};

} // namespace turmericplank::routing
