#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/routes/callkind.hpp"

namespace turmericplank::routes {

/// @brief A service that a route leads to, and its part of the route's calls.
struct WeightedService
{
    base::ServiceName service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const WeightedService &, const WeightedService &) = default;
    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/// @brief Where calls of one host and path prefix go, and what is promised to them.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    CallKind kind;
    base::Duration timeout{0}; ///< from the whole request to its final answer
    base::Duration objective{0}; ///< to the answer, or to the first event of a stream
    base::Duration eventGapObjective{0}; ///< between two events of a stream
    std::uint32_t rank = 0; ///< zero is the most urgent
    std::uint32_t sendLimit = 1; ///< endpoints that one call may be sent to
    std::vector<WeightedService> services;

    friend bool operator==(const Route &, const Route &) = default;
};

/// @brief One model that the engines of a service may hold.
struct ModelSpec
{
    base::ModelName name;
    std::uint32_t memoryMb = 0; ///< accelerator memory of its weights
    base::Duration loadTime{0}; ///< from the weight store
    std::uint32_t adapters = 0; ///< named a1, a2 and so on
    std::uint32_t adapterMemoryMb = 0; ///< accelerator memory of each adapter

    friend bool operator==(const ModelSpec &, const ModelSpec &) = default;
};

/// @brief What the engines of a service have in common.
struct EngineSpec
{
    std::uint32_t concurrency = 1; ///< requests that it batches
    std::uint32_t cacheTokens = 0; ///< memory for prompts and answers
    std::uint32_t memoryMb = 0; ///< accelerator memory for weights and adapters
    std::uint32_t adapterSlots = 0;
    double weightLoadsPerSecond = 1; ///< from the weight store, over all engines
    std::vector<ModelSpec> models;

    friend bool operator==(const EngineSpec &, const EngineSpec &) = default;
};

/// @brief A service: model engines, or plain instances where there is no engine part.
struct ServiceSpec
{
    base::ServiceName name;
    std::uint32_t connectionLimit = 1; ///< connections that one endpoint accepts from all daemons together
    std::optional<EngineSpec> engine;

    friend bool operator==(const ServiceSpec &, const ServiceSpec &) = default;
};

/// @brief Bounds on what a caller may send.
struct CallerBounds
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    base::Duration requestTimeout = std::chrono::seconds(10); ///< from a request's first byte to its last
    base::Duration idleTimeout = std::chrono::seconds(75); ///< between two requests of a connection

    friend bool operator==(const CallerBounds &, const CallerBounds &) = default;
};

/// @brief One version of what the operators put in force.
struct SiteConfiguration
{
    base::Revision revision;
    std::vector<Route> routes;
    std::map<base::ServiceName, ServiceSpec> services;
    CallerBounds bounds;

    friend bool operator==(const SiteConfiguration &, const SiteConfiguration &) = default;
};

} // namespace turmericplank::routes
