#include "placementtrace.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <random>
#include <sstream>

#include "turmericplank/configuration/reader.hpp"

namespace turmericplank::bench::policies {

namespace {

constexpr std::size_t TraceSeconds = WarmUpSeconds + 1500;
constexpr std::size_t EventBegin = WarmUpSeconds + 400;
constexpr std::size_t EventSeconds = 600;
constexpr double PeakUtilization = 0.88; // share of all streams that the busiest second needs
constexpr double BurstFactor = 10.0;
constexpr double BurstingShare = 0.3; // share of the models that have a burst
constexpr double ZipfExponent = 0.9;
constexpr double ReferenceMib = 8192; // memory of a model whose requests take ReferenceSeconds
constexpr double ReferenceSeconds = 3.0;
constexpr std::size_t TargetEndpoints = 150;
constexpr std::size_t TargetModels = 60;
constexpr std::uint32_t TargetMib = 81920;
constexpr std::uint32_t TargetConcurrency = 32;

/// Demand factor of one burst, which rises and falls linearly; all times are in seconds.
double burst(double second, double begin, double rise, double hold)
{
    const double risen = std::clamp((second - begin) / rise, 0.0, 1.0);
    const double fallen = std::clamp((second - begin - rise - hold) / rise, 0.0, 1.0);
    return 1.0 + (BurstFactor - 1.0) * (risen - fallen);
}

ModelTrace generateModel(const configuration::Model &model, double rank, std::mt19937_64 &random)
{
    std::uniform_real_distribution<> uniform;
    ModelTrace trace;
    trace.serviceSeconds = ReferenceSeconds * std::sqrt(model.memoryMib / ReferenceMib);
    const double base = 1.0 / std::pow(rank, ZipfExponent);
    const bool isBursting = uniform(random) < BurstingShare;
    const double begin = WarmUpSeconds + uniform(random) * 900;
    const double rise = 60 + uniform(random) * 240;
    const double hold = 120 + uniform(random) * 400;
    const double phase = uniform(random) * 6.28;
    for (std::size_t n = 0; n < TraceSeconds; ++n) {
        const double variation = 1.0 + 0.3 * std::sin(phase + static_cast<double>(n) / 300.0);
        trace.requestsPerSecond.push_back(base * variation * (isBursting ? burst(static_cast<double>(n), begin, rise, hold) : 1.0));
    }
    return trace;
}

void scaleToPeak(Trace &trace, const configuration::Document &document)
{
    double capacity = 0;
    for (const auto &[id, endpoint] : document.endpoints) {
        capacity += endpoint.concurrency;
    }
    double peak = 0;
    for (std::size_t n = 0; n < trace.seconds; ++n) {
        double streams = 0;
        for (const auto &[name, model] : trace.models) {
            streams += model.requestsPerSecond[n] * model.serviceSeconds;
        }
        peak = std::max(peak, streams);
    }
    const double factor = PeakUtilization * capacity / peak;
    for (auto &[name, model] : trace.models) {
        for (auto &rate : model.requestsPerSecond) {
            rate *= factor;
        }
    }
}

std::shared_ptr<configuration::Document> withNewVersions(const configuration::Document &document, std::mt19937_64 &random)
{
    auto changed = std::make_shared<configuration::Document>(document);
    for (auto &[name, model] : changed->models) {
        if (random() % 3 == 0) {
            model.version += "-next";
        }
    }
    return changed;
}

/// Replaces some models by new ones of the same size, to which their demand moves.
std::shared_ptr<configuration::Document> withReplacedModels(Trace &trace, const configuration::Document &document, std::mt19937_64 &random)
{
    auto changed = std::make_shared<configuration::Document>(document);
    for (const auto &[name, model] : document.models) {
        if (random() % 4 != 0) {
            continue;
        }
        auto added = model;
        added.name = base::ModelName(name.text() + "-new");
        changed->models.erase(name);
        changed->models.emplace(added.name, added);
        std::erase_if(changed->adapters, [&name = name](const auto &entry) { return entry.second.model == name; });
        auto &before = trace.models.at(name);
        auto &after = trace.models[added.name];
        after = before;
        for (std::size_t n = 0; n < trace.seconds; ++n) {
            // Callers use the old name as long as it is configured, and the new one from a minute after it was accepted.
            (n < EventBegin + 60 ? after : before).requestsPerSecond[n] = 0;
            if (n >= EventBegin) {
                before.requestsPerSecond[n] = 0;
            }
        }
    }
    return changed;
}

} // namespace

std::string toString(TraceKind kind)
{
    switch (kind) {
    case TraceKind::Bursts:
        return "bursts";
    case TraceKind::LostZone:
        return "lost_zone";
    case TraceKind::StoreOutage:
        return "store_outage";
    case TraceKind::VersionRoll:
        return "version_roll";
    case TraceKind::CutOver:
        return "cut_over";
    }
    return "bursts";
}

std::shared_ptr<const configuration::Document> readSite(const std::string &site)
{
    std::ifstream file("examples/" + site + ".toml");
    std::stringstream text;
    text << file.rdbuf();
    auto document = configuration::parseDocument(text.str());
    if (!file || !document) {
        return nullptr;
    }
    return std::make_shared<const configuration::Document>(std::move(*document));
}

std::shared_ptr<const configuration::Document> targetCell()
{
    auto document = std::make_shared<configuration::Document>();
    document->site = "target-cell";
    document->placement.weightLoadsPerSecond = 15;
    document->placement.weightLoadsAtFullSpeed = 45;
    for (std::size_t n = 0; n < TargetEndpoints; ++n) {
        const base::EndpointId id("engine-" + std::to_string(n));
        const base::ZoneName zone("region/" + std::to_string(n % 3));
        document->endpoints[id] = {id, {}, zone, TargetMib, TargetConcurrency, n % 2 == 0, "serve"};
    }
    constexpr std::array<std::uint32_t, 5> Sizes = {4096, 8704, 15360, 28672, 40960};
    for (std::size_t n = 0; n < TargetModels; ++n) {
        const base::ModelName name("model-" + std::to_string(n));
        document->models[name] = {name, "1", Sizes[n % Sizes.size()], 2, 1500, n % 3 == 0 ? 4.0 : 1.0};
    }
    return document;
}

Trace generateTrace(std::shared_ptr<const configuration::Document> document, TraceKind kind, unsigned seed)
{
    std::mt19937_64 random(seed * 1000 + static_cast<unsigned>(kind));
    Trace trace;
    trace.kind = kind;
    trace.before = document;
    trace.after = document;
    trace.seconds = TraceSeconds;
    trace.eventBegin = EventBegin;
    trace.eventEnd = EventBegin + EventSeconds;
    std::vector<double> ranks;
    for (std::size_t n = 0; n < document->models.size(); ++n) {
        ranks.push_back(static_cast<double>(n + 1));
    }
    std::shuffle(ranks.begin(), ranks.end(), random);
    for (const auto &[name, model] : document->models) {
        trace.models.emplace(name, generateModel(model, ranks[trace.models.size()], random));
    }
    scaleToPeak(trace, *document);
    if (kind == TraceKind::LostZone) {
        trace.lostZone = document->endpoints.begin()->second.zone;
    } else if (kind == TraceKind::VersionRoll) {
        trace.after = withNewVersions(*document, random);
    } else if (kind == TraceKind::CutOver) {
        trace.after = withReplacedModels(trace, *document, random);
    }
    return trace;
}

} // namespace turmericplank::bench::policies
