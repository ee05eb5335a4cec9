#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/routing/endpointhealth.hpp"
#include "turmericplank/routing/loadestimate.hpp"
#include "turmericplank/routing/loadreport.hpp"
#include "turmericplank/routing/prefixindex.hpp"
#include "turmericplank/routing/rateallowance.hpp"
#include "turmericplank/routing/rejectionallowance.hpp"
#include "turmericplank/routing/routetypes.hpp"

namespace turmericplank::routing {

/// @brief An endpoint from the accepted configuration.
struct RoutableEndpoint
{
    base::EndpointId id;
    base::Address address;
    base::ZoneName zone;
    std::uint32_t concurrency = 16; ///< streams that fit into its batch at full speed
    std::string softwareVersion; ///< of its program; versions have no order
    base::ServiceName service; ///< empty if limits of rejections are not used

    friend auto operator<=>(const RoutableEndpoint &, const RoutableEndpoint &) = default;
    friend bool operator==(const RoutableEndpoint &, const RoutableEndpoint &) = default;
};

/// @brief Status of an endpoint according to the membership.
enum class EndpointStatus {
    Live,
    Suspect, ///< chosen only if no other endpoint can take the request
    Leaving, ///< gets no new requests
    Gone, ///< gets no requests; its cached prefixes are forgotten
};

/// @brief Assumed speed of an engine, used to estimate times to the first token.
struct EngineSpeed
{
    double promptMillisecondsPerToken = 0.1;
    double stepMilliseconds = 12; ///< fixed part of a decoding step
    double stepMillisecondsPerStream = 0.6; ///< added to a step by each stream in the batch
    double averageAnswerTokens = 150;
    double averagePromptTokens = 600;
    double adapterLoadMilliseconds = 8;
    double cacheMoveMillisecondsPerToken = 0.02; ///< export and import
    double cacheMoveMilliseconds = 10; ///< fixed part of a cache transfer
};

/// @brief Options and hooks of a router.
struct RouterOptions
{
    /// One-way latency between this daemon and a zone.
    std::function<base::Duration(const base::ZoneName &)> zoneDistance = [](const base::ZoneName &) {
        return base::Duration(0);
    };
    EngineSpeed speed;
    HealthOptions health;
    PrefixIndexOptions prefixes;
    double promptInterference = 15; ///< delay that a prompt causes for other requests on a full endpoint, as a multiple of its own time
    double similarDaemonShare = 0.7; ///< share of the other daemons assumed to have sent the same recent work as this one
    double streamPenaltyMilliseconds = 0; ///< cost of each stream on an endpoint, because the stream is expected to bring further prompts
    bool mayMoveCache = false; ///< whether the engines can export and import their caches
    double maxTieBreakMilliseconds = 4; ///< max cost added by a hash of the prompt's first prefix and the endpoint, to separate similar endpoints
    base::Duration peerWorkLifetime = std::chrono::milliseconds(2500); ///< if a daemon's last heartbeat is older, load reports are used instead
    base::Duration attemptLifetime = std::chrono::minutes(10); ///< an attempt without a recorded end expires after this time
    base::Duration retryAfter = std::chrono::milliseconds(500); ///< delay until a rejected request may be retried
    std::size_t maxCandidates = 48; ///< max endpoints scored for one request; a random sample if there are more
};

/// @brief Chooses an endpoint for each request of one daemon.
///
/// Keeps the state of the endpoints: resident models, load, cached prefixes, health and membership status. It does no I/O;
/// the current time and the random source are passed in.
class Router
{
public:
    explicit Router(RouterOptions options = {});

    /// @brief Sets the configured endpoints; keeps the state of those that remain.
    void setEndpoints(const std::vector<RoutableEndpoint> &endpoints);

    /// @brief Sets the configured models and the base model of each adapter.
    void setModels(const std::vector<base::ModelName> &models, const std::map<base::AdapterName, base::ModelName> &adapters);

    /// @brief Applies an endpoint's load report; an older one than the last is ignored.
    void noteReport(const base::EndpointId &endpoint, const LoadReport &report, base::Time now);

    /// @brief Sets the membership status of an endpoint.
    void setStatus(const base::EndpointId &endpoint, EndpointStatus status, base::Time now);

    /// @brief Applies published changes of an endpoint's prefix cache.
    void noteCacheEvents(const base::EndpointId &endpoint, const std::vector<CacheEvent> &events, base::Time now);

    /// @brief Updates another daemon's work from its heartbeat; its earlier values for other endpoints stay valid.
    void notePeerWork(const base::DaemonId &from, const std::vector<EndpointWork> &work, base::Time now);

    /// @brief Sets the factor that scales up the known work on a site too large for each daemon to hear all others.
    /// @param factor number of all daemons divided by the number of daemons whose work is known, this one included
    void setUnreportedWorkFactor(double factor);

    /// @brief Limits the rejections of endpoints while their services state that they fail if they reject too many requests.
    /// @param limits rejections per second that each endpoint of a service survives
    /// @param self this daemon
    /// @param others the daemons that share the limits with it
    /// @param now current time
    void setRejectionLimits(const std::map<base::ServiceName, std::uint32_t> &limits, const base::DaemonId &self, const std::vector<base::DaemonId> &others,
                            base::Time now);

    /// @brief Calls per second that endpoints take from all daemons together; choose() and noteSent() apply it.
    RateAllowance &rateAllowance();

    /// @brief Removes the work of a daemon that is gone.
    void forgetPeer(const base::DaemonId &from);

    /// @brief This daemon's own work, for its heartbeat; endpoints without work are omitted.
    std::vector<EndpointWork> ownWork() const;

    /// @brief Chooses an endpoint for a request.
    /// @param request the request
    /// @param now current time
    /// @param random samples candidates and breaks ties
    /// @return the choice, or the reason why no endpoint can take the request
    tl::expected<Choice, NoRoute> choose(const RouteRequest &request, base::Time now, std::mt19937_64 &random);

    /// @brief Records that the request was sent to the chosen endpoint.
    void noteSent(const Choice &choice, const RouteRequest &request, base::Time now);

    /// @brief Sends nothing to an endpoint until a time, since it has asked for a pause; ends with its incarnation.
    void notePause(const base::EndpointId &endpoint, base::Time until);

    /// @brief Records the arrival of an attempt's first token.
    void noteFirstToken(Ticket ticket, base::Time now);

    /// @brief Records the end of an attempt; later calls for the same ticket are ignored.
    void noteEnded(Ticket ticket, AttemptOutcome end, base::Time now);

    /// @brief Drops expired attempts; to be called about once a second.
    void expire(base::Time now);

    /// @brief Number of endpoints that hold a model and may get requests.
    std::size_t replicas(const base::ModelName &model) const;

    /// @brief Total number of streams that a model's replicas can batch at full speed.
    std::uint32_t streamCapacity(const base::ModelName &model) const;

private:
    struct EndpointState
    {
        RoutableEndpoint endpoint;
        bool isConfigured = false;
        double distanceMilliseconds = 0; ///< one way
        EndpointStatus status = EndpointStatus::Live;
        bool isLeavingByReport = false;
        base::Time pausedUntil; ///< the endpoint wants no requests from this daemon until then
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
        base::Time expiresAt;
        double expectedMilliseconds = 0;
        std::vector<std::uint64_t> prefixes;
        base::ModelName model;
        bool hasFirstToken = false;
    };

    struct ResolvedModel
    {
        base::ModelName model;
        base::AdapterName adapter;
    };

    struct Peer
    {
        base::Time heardAt;
        std::set<EndpointIndex> endpoints;
    };

    /// Cost of an endpoint for a request, in milliseconds.
    struct Cost
    {
        double total = 0; ///< time to the first token
        double work = 0;
        double prompt = 0;
        double distance = 0; ///< both ways
        double adapter = 0;
        double health = 0;
        double interference = 0; ///< cost to other requests; not part of the total
        double tieBreak = 0;
        std::uint32_t cachedTokens = 0;
        std::optional<EndpointIndex> source;
    };

    /// Values shared by all candidates of one decision.
    struct DecisionContext
    {
        base::Time now;
        std::uint64_t tieSeed = 0;
        bool isPeerWorkComplete = false;
        double similarDaemons = 0;
    };

    struct ScoredCandidate
    {
        EndpointIndex index = 0;
        Cost cost;
        bool isLate = false; ///< the first token is expected after the request's deadline
        int healthClass = 0; ///< 0 healthy, 1 due for a probe, 2 suspect or blocked
    };

    void updateAllowance();
    bool maySend(const EndpointState &state, const RouteRequest &request, base::Time now);
    static EndpointWork workOf(const EndpointState &state);
    static bool isUsable(const EndpointState &state);
    static bool isBetter(const ScoredCandidate &a, const ScoredCandidate &b);
    const std::vector<EndpointIndex> &residentsFor(const base::ModelName &model, const RouteRequest &request);
    std::vector<EndpointIndex> usableReplicas(const base::ModelName &model) const;
    std::optional<ResolvedModel> resolve(const base::ModelName &name) const;
    void setResidents(EndpointIndex index, const LoadReport &report);
    void dropResident(EndpointIndex index, const base::ModelName &model);
    void collectCandidates(const std::vector<EndpointIndex> &residents, const RouteRequest &request, std::mt19937_64 &random);
    void findCachedPrefixes(const RouteRequest &request, base::Time now);
    std::uint32_t cachedTokensOn(EndpointIndex index) const;
    ScoredCandidate score(EndpointIndex index, const ResolvedModel &resolved, const RouteRequest &request, const DecisionContext &context) const;
    double waitMilliseconds(const EndpointState &state, const Work &work, base::Priority priority) const;
    bool isPeerWorkComplete(base::Time now) const;
    void scorePrompt(const RouteRequest &request, const Work &work, double concurrency, Cost &cost) const;
    Choice makeChoice(const ScoredCandidate &best, const ScoredCandidate *runnerUp, const RouteRequest &request);
    EndpointState *find(const base::EndpointId &id);

    RouterOptions m_options;
    std::unordered_map<base::EndpointId, EndpointIndex> m_indexes;
    std::vector<EndpointState> m_endpoints;
    std::unordered_map<base::ModelName, std::vector<EndpointIndex>> m_residents; ///< has an entry for every configured model
    std::unordered_map<base::ModelName, ResolvedModel> m_adapters;
    PrefixIndex m_prefixes;
    std::unordered_map<Ticket, Attempt> m_attempts;
    std::map<base::DaemonId, Peer> m_peers;
    double m_unreportedWorkFactor = 1;
    std::map<base::ServiceName, std::uint32_t> m_rejectionLimits; ///< per second and endpoint
    RejectionAllowance m_allowance;
    RateAllowance m_rateAllowance;
    Ticket m_lastTicket = 0;
    std::vector<EndpointIndex> m_candidates; ///< scratch space of choose()
    std::vector<EndpointIndex> m_residentsOfVersion; ///< scratch space of choose()
    std::vector<std::pair<EndpointIndex, Prefix>> m_cachedPrefixes; ///< scratch space of choose()
    std::vector<EndpointIndex> m_holders; ///< scratch space of choose()
};

} // namespace turmericplank::routing
