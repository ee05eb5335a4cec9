#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/priority.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/routing/prefixchain.hpp"

namespace turmericplank::routing {

/// @brief A request as the router sees it.
struct RouteRequest
{
    base::ModelName model; ///< a model or an adapter
    base::Priority priority = base::Priority::Normal;
    base::Time deadline; ///< for the first token
    PrefixChain prefixes; ///< empty if the prompt is unknown
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; ///< max tokens of the answer, zero if unknown
    std::vector<base::EndpointId> excluded; ///< endpoints that must not get the request
    bool isRetry = false; ///< has been sent to another endpoint before
    bool isNew = true; ///< an endpoint is chosen for the first time
    std::optional<std::string> softwareVersion; ///< only endpoints of this version may get the request

    friend bool operator==(const RouteRequest &, const RouteRequest &) = default;
};

/// @brief Main reason why an endpoint was chosen over the runner-up.
enum class RouteReason {
    OnlyCandidate, ///< no other endpoint could take the request
    LessWork, ///< less work ahead of the request
    PrefixCached, ///< holds more of the prompt in its cache
    CacheMoved, ///< importing the cache is faster than computing the prompt
    Closer, ///< smaller zone distance
    AdapterResident, ///< the runner-up would have to load the adapter first
    Healthier, ///< the runner-up recently failed or was slow
    Probe, ///< single request to test whether a failing endpoint has recovered
    LastResort, ///< all candidates are suspect or blocked; the best of them was chosen
};

/// @brief Name of a reason in the log.
std::string_view toString(RouteReason reason);

/// @brief Another endpoint from which the prompt's cache is imported before the prompt is run.
struct CacheSource
{
    base::EndpointId endpoint;
    base::Address address;
    Prefix prefix;

    friend bool operator==(const CacheSource &, const CacheSource &) = default;
};

/// @brief Number of an attempt, unique within one router.
using Ticket = std::uint64_t;

/// @brief The endpoint chosen for a request, with the reason.
struct Choice
{
    Ticket ticket = 0;
    base::EndpointId endpoint;
    base::Address address;
    base::Incarnation incarnation; ///< as last reported
    RouteReason reason = RouteReason::OnlyCandidate;
    std::optional<base::EndpointId> runnerUp;
    base::Duration expectedFirstToken{0}; ///< from sending to the first token
    base::Duration runnerUpFirstToken{0};
    std::uint32_t cachedTokens = 0; ///< prompt tokens expected to be in the endpoint's cache
    std::optional<CacheSource> cacheSource;

    friend bool operator==(const Choice &, const Choice &) = default;
};

/// @brief Why no endpoint can take a request.
enum class NoRouteReason {
    UnknownModel, ///< no configured model or adapter has this name
    NotResident, ///< no endpoint currently holds the model
    Excluded, ///< the request excludes every endpoint that holds the model
    Unavailable, ///< every endpoint that holds the model is leaving or gone
    Paused, ///< every other endpoint that holds the model has asked for a pause; NoRoute::retryAt is the end of the first pause
    AllowanceUsed, ///< other endpoints that hold the model would reject too many requests if this daemon sent them more
};

/// @brief Name of a reason in the log.
std::string_view toString(NoRouteReason reason);

/// @brief No endpoint can take the request.
struct NoRoute
{
    NoRouteReason reason = NoRouteReason::UnknownModel;
    base::Time retryAt; ///< earliest time for a retry

    friend bool operator==(const NoRoute &, const NoRoute &) = default;
};

/// @brief How an attempt ended.
enum class AttemptOutcome {
    Answered, ///< the complete answer arrived
    Cancelled, ///< the caller went away; does not affect the endpoint's health
    Overloaded, ///< rejected before it was run, for lack of capacity
    NotResident, ///< rejected because the endpoint does not hold the model
    Leaving, ///< rejected because the endpoint is leaving
    Failed, ///< the endpoint answered with an error
    Lost, ///< the connection broke or stayed silent
};

} // namespace turmericplank::routing
