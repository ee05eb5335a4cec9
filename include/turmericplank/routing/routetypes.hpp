#pragma once

#include <cstdint>
#include <optional>
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
    PrefixChain prefixes; ///< empty where nothing is known of the prompt
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; ///< most tokens that the answer may have, zero where it is not known
    std::vector<base::EndpointId> excluded; ///< endpoints that must not get it

    friend bool operator==(const RouteRequest &, const RouteRequest &) = default;
};

/// @brief What spoke for the chosen endpoint against the runner-up.
enum class RouteReason {
    OnlyCandidate, ///< no other endpoint could take it
    LessWork, ///< less work ahead of the request
    PrefixCached, ///< holds more of the prompt in its cache
    CacheMoved, ///< importing the cache beats computing it
    Closer, ///< smaller zone distance
    AdapterResident, ///< the runner-up would load the adapter first
    Healthier, ///< the runner-up failed or slowed lately
    Probe, ///< one request to see whether a failing endpoint has recovered
    LastResort, ///< no candidate is trusted; the least doubtful was taken
};

/// @brief The word that stands in the log.
std::string_view toString(RouteReason reason);

/// @brief Another endpoint whose cache is worth importing before the prompt is run.
struct CacheSource
{
    base::EndpointId endpoint;
    base::Address address;
    Prefix prefix;

    friend bool operator==(const CacheSource &, const CacheSource &) = default;
};

/// @brief Names one attempt within one router.
using Ticket = std::uint64_t;

/// @brief Where a request goes and why.
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
    std::uint32_t cachedTokens = 0; ///< believed to be in the endpoint's cache
    std::optional<CacheSource> cacheSource;

    friend bool operator==(const Choice &, const Choice &) = default;
};

/// @brief Why there is no endpoint for a request.
enum class NoRouteReason {
    UnknownModel, ///< no configured model or adapter has this name
    NotResident, ///< no endpoint holds the model now
    Excluded, ///< every endpoint that holds it is excluded by the request
    Unavailable, ///< every endpoint that holds it leaves or is gone
};

/// @brief The word that stands in the log.
std::string_view toString(NoRouteReason reason);

/// @brief No endpoint can take the request.
struct NoRoute
{
    NoRouteReason reason = NoRouteReason::UnknownModel;
    base::Time retryAt; ///< when asking again is worth while

    friend bool operator==(const NoRoute &, const NoRoute &) = default;
};

/// @brief How an attempt ended.
enum class AttemptEnd {
    Answered, ///< the whole answer came
    Cancelled, ///< the caller went away; says nothing of the endpoint
    Overloaded, ///< refused before it was run, for want of room
    NotResident, ///< refused, the model is not there
    Leaving, ///< refused, the endpoint leaves
    Failed, ///< the endpoint answered with an error
    Lost, ///< the connection broke or stayed silent
};

} // namespace turmericplank::routing
