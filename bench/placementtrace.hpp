#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "turmericplank/configuration/document.hpp"

namespace turmericplank::bench::policies {

/// @brief What happens in a trace beside the bursts that all of them have.
enum class TraceKind { Bursts, LostZone, StoreOutage, VersionRoll, CutOver };

/// @brief The word of a kind in the names of figures.
std::string toString(TraceKind kind);

/// @brief One model's demand, second by second.
struct ModelTrace
{
    double serviceSeconds = 2;
    std::vector<double> requestsPerSecond;
};

/// @brief A site, its demand and what happens to it.
struct Trace
{
    TraceKind kind = TraceKind::Bursts;
    std::shared_ptr<const configuration::Document> before;
    std::shared_ptr<const configuration::Document> after; ///< in force from eventBegin
    std::map<base::ModelName, ModelTrace> models;
    std::size_t seconds = 0;
    std::size_t eventBegin = 0; ///< second
    std::size_t eventEnd = 0; ///< second
    base::ZoneName lostZone;
};

/// @brief Seconds before anything is measured, in which every policy fills the empty engines.
constexpr std::size_t WarmUpSeconds = 240;

/// @brief Reads a site's document from examples/, for a program that runs in the project's folder.
/// @param site tx-central or qc-est
/// @return nothing if it cannot be read
std::shared_ptr<const configuration::Document> readSite(const std::string &site);

/// @brief One cell of the target: 150 endpoints, 60 models.
std::shared_ptr<const configuration::Document> targetCell();

/// @brief Draws a trace. The demand is scaled so that its busiest minute asks for a given share of all streams.
/// @param document the site
/// @param kind what happens
/// @param seed of all draws
Trace drawTrace(std::shared_ptr<const configuration::Document> document, TraceKind kind, unsigned seed);

} // namespace turmericplank::bench::policies
