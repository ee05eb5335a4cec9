#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "turmericplank/configuration/document.hpp"

namespace turmericplank::bench::policies {

/// @brief Event of a trace in addition to the bursts, which all traces have.
///
/// Bursts has no event. VersionRoll gives some models a new version; CutOver replaces some models by new ones.
enum class TraceKind { Bursts, LostZone, StoreOutage, VersionRoll, CutOver };

/// @brief Name of a kind in the names of figures.
std::string toString(TraceKind kind);

/// @brief Demand of one model in each second.
struct ModelTrace
{
    double serviceSeconds = 2; ///< mean time of a request
    std::vector<double> requestsPerSecond;
};

/// @brief A site with its demand and an event.
struct Trace
{
    TraceKind kind = TraceKind::Bursts;
    std::shared_ptr<const configuration::Document> before;
    std::shared_ptr<const configuration::Document> after; ///< document in force from eventBegin
    std::map<base::ModelName, ModelTrace> models;
    std::size_t seconds = 0;
    std::size_t eventBegin = 0; ///< first second of the event
    std::size_t eventEnd = 0; ///< second after the event
    base::ZoneName lostZone; ///< zone whose endpoints are down during the event of LostZone
};

/// @brief Seconds at the start that are not measured, in which every policy fills the empty engines.
constexpr std::size_t WarmUpSeconds = 240;

/// @brief Reads a site's document from the folder examples/ of the working directory.
/// @param site tx-central or qc-est
/// @return `nullptr` if it cannot be read
std::shared_ptr<const configuration::Document> readSite(const std::string &site);

/// @brief Makes the document of one cell of the target size: 150 endpoints, 60 models.
std::shared_ptr<const configuration::Document> targetCell();

/// @brief Generates a random trace. The demand is scaled so that its busiest second needs a fixed share of all streams.
/// @param document the site
/// @param kind event of the trace
/// @param seed seed of all random choices
Trace generateTrace(std::shared_ptr<const configuration::Document> document, TraceKind kind, unsigned seed);

} // namespace turmericplank::bench::policies
