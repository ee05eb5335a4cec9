#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/accounts/account.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/routes/callkind.hpp"

namespace turmericplank::routes {

/// @brief A service of a route, with its share of the route's calls.
struct WeightedService
{
    base::ServiceName service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const WeightedService &, const WeightedService &) = default;
    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/// @brief Services and time limits for the calls of one host and path prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    CallKind kind;
    base::Duration timeout{0}; ///< from receiving the whole request to the end of the answer
    base::Duration objective{0}; ///< target time to the answer, or to the first event of a stream
    base::Duration eventGapObjective{0}; ///< target time between two events of a stream
    std::uint32_t rank = 0; ///< priority; zero is the most urgent
    std::uint32_t sendLimit = 1; ///< max endpoints that one call may be sent to
    std::vector<WeightedService> services;
    bool isPublic = false; ///< calls need no API key

    friend bool operator==(const Route &, const Route &) = default;
};

/// @brief A model that the engines of a service may hold.
struct ModelSpec
{
    base::ModelName name;
    std::uint32_t memoryMb = 0; ///< accelerator memory of its weights
    base::Duration loadTime{0}; ///< time to load the weights from the weight store
    std::uint32_t adapters = 0; ///< number of adapters, which are named a1, a2 and so on
    std::uint32_t adapterMemoryMb = 0; ///< accelerator memory of each adapter

    friend bool operator==(const ModelSpec &, const ModelSpec &) = default;
};

/// @brief Properties shared by the engines of a service.
struct EngineSpec
{
    std::uint32_t concurrency = 1; ///< requests that an engine batches
    std::uint32_t cacheTokens = 0; ///< capacity of the cache for prompts and answers
    std::uint32_t memoryMb = 0; ///< accelerator memory for weights and adapters
    std::uint32_t adapterSlots = 0;
    double weightLoadsPerSecond = 1; ///< max loads from the weight store, over all engines
    std::vector<ModelSpec> models;

    friend bool operator==(const EngineSpec &, const EngineSpec &) = default;
};

/// @brief A service made up of model engines, or of plain instances if it has no engine specification.
struct ServiceSpec
{
    base::ServiceName name;
    std::uint32_t connectionLimit = 1; ///< max connections to one endpoint from all daemons together
    std::optional<EngineSpec> engine;

    friend bool operator==(const ServiceSpec &, const ServiceSpec &) = default;
};

/// @brief Limits on the requests and connections of callers.
struct CallerBounds
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    base::Duration requestTimeout = std::chrono::seconds(10); ///< from the first to the last byte of a request
    base::Duration idleTimeout = std::chrono::seconds(75); ///< between two requests on a connection

    friend bool operator==(const CallerBounds &, const CallerBounds &) = default;
};

/// @brief One version of the site's configuration, as put in force by the operators.
struct SiteConfiguration
{
    base::Revision revision;
    std::vector<Route> routes;
    std::map<base::ServiceName, ServiceSpec> services;
    CallerBounds bounds;
    std::optional<std::vector<accounts::Account>> accounts; ///< if set, calls carry the API key of an account unless their route is public

    friend bool operator==(const SiteConfiguration &, const SiteConfiguration &) = default;
};

} // namespace turmericplank::routes
