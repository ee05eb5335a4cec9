#pragma once

#include <map>
#include <string>
#include <vector>

#include "routingengine.hpp"

namespace turmericplank::bench {

/// @brief Size and contents of a site.
struct RoutingSite
{
    std::string name;
    std::size_t endpoints = 0;
    std::size_t models = 0;
    std::size_t adapters = 0;
    std::size_t daemons = 8;
    double zoneDelayMilliseconds = 1; ///< one-way network delay between zones
    double requestsPerSecond = 0;
    std::vector<std::vector<base::ModelName>> residents; ///< models on each endpoint
    std::map<base::AdapterName, base::ModelName> adapterModels;
    std::vector<base::ModelName> modelNames;
};

/// @brief Event of a trace in addition to the usual mix of requests.
enum class TraceKind {
    Conversations, ///< no event
    Bursts, ///< the request rate rises for some seconds, mostly for one model
    SlowEndpoint, ///< one endpoint becomes slow
    FailingEndpoint, ///< one endpoint answers with errors
};

/// @brief Name of a kind in the names of figures.
std::string toString(TraceKind kind);

/// @brief A site of the size of tx-central.
RoutingSite txCentral();

/// @brief A site of the size of qc-est.
RoutingSite qcEst();

/// @brief Generates two minutes of requests: conversations whose prompts grow, single questions and long summaries.
/// @param site site with the models and daemons
/// @param kind event of the trace
/// @param seed seed of all random choices
std::vector<TraceRequest> makeTrace(const RoutingSite &site, TraceKind kind, unsigned seed);

/// @brief Time from the start until the fault of the slow or failing endpoint begins.
constexpr base::Duration FaultFrom = std::chrono::seconds(30);
/// @brief Time from the start until that fault ends.
constexpr base::Duration FaultUntil = std::chrono::seconds(80);
constexpr base::Duration TraceLength = std::chrono::seconds(120);
constexpr base::Time TraceStart = base::timeFromMilliseconds(1'000'000);

} // namespace turmericplank::bench
