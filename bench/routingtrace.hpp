#pragma once

#include <map>
#include <string>
#include <vector>

#include "routingengine.hpp"

namespace turmericplank::bench {

/// @brief Sizes of a site.
struct RoutingSite
{
    std::string name;
    std::size_t endpoints = 0;
    std::size_t models = 0;
    std::size_t adapters = 0;
    std::size_t daemons = 8;
    double zoneMilliseconds = 1; ///< one way between zones
    double requestsPerSecond = 0;
    std::vector<std::vector<base::ModelName>> residents; ///< of each endpoint
    std::map<base::AdapterName, base::ModelName> adapterModels;
    std::vector<base::ModelName> modelNames;
};

/// @brief What happens in a trace beside the usual mix.
enum class TraceKind {
    Conversations,
    Bursts,
    SlowEndpoint,
    FailingEndpoint,
};

/// @brief The word in the figures' names.
std::string toString(TraceKind kind);

/// @brief A site of the brief's sizes.
RoutingSite txCentral();

/// @brief A site of the brief's sizes.
RoutingSite qcEst();

/// @brief Requests of two minutes: conversations whose prompts grow, single questions, long summaries.
/// @param site whose models and daemons
/// @param kind what happens
/// @param seed of all choices
std::vector<TraceRequest> makeTrace(const RoutingSite &site, TraceKind kind, unsigned seed);

/// @brief When the slow or failing endpoint goes wrong and when it recovers, after the start.
constexpr base::Duration FaultFrom = std::chrono::seconds(30);
constexpr base::Duration FaultUntil = std::chrono::seconds(80);
constexpr base::Duration TraceLength = std::chrono::seconds(120);
constexpr base::Time TraceStart = base::timeFromMilliseconds(1'000'000);

} // namespace turmericplank::bench
