#include <algorithm>
#include <array>
#include <cstdio>
#include <future>
#include <map>
#include <string>
#include <utility>

#include "placementrun.hpp"
#include "section.hpp"

namespace turmericplank::bench::policies {

namespace {

constexpr std::array<TraceKind, 5> Kinds = {TraceKind::Bursts, TraceKind::LostZone, TraceKind::StoreOutage, TraceKind::VersionRoll, TraceKind::CutOver};

using Results = std::map<std::string, RunResult>;

Results runPolicies(const Trace &trace, unsigned seed)
{
    const std::map<std::string, Policy> policies = {
        {"own", ownPolicy()}, {"static", staticPolicy()}, {"reactive", reactivePolicy()}, {"foresight", foresightPolicy()}};
    std::map<std::string, std::future<RunResult>> pending;
    for (const auto &[name, policy] : policies) {
        pending.emplace(name, std::async(std::launch::async, [&trace, &policy = policy, seed] { return run(trace, policy, seed); }));
    }
    Results results;
    for (auto &[name, result] : pending) {
        results.emplace(name, result.get());
    }
    return results;
}

void printResults(const std::string &site, const Trace &trace, const Results &results)
{
    const auto suffix = '.' + site + '.' + toString(trace.kind);
    const auto accelerators = static_cast<double>(trace.before->endpoints.size());
    for (const auto &[policy, result] : results) {
        printFigure("placement.attainment" + suffix + '.' + policy, result.attainment, "share", "-");
        printFigure("placement.attainment_per_accelerator" + suffix + '.' + policy, result.attainment / accelerators, "share/accelerator", "-");
        printFigure("placement.moves" + suffix + '.' + policy, static_cast<double>(result.moves), "moves", "-");
        printFigure("placement.adapter_moves" + suffix + '.' + policy, static_cast<double>(result.adapterMoves), "moves", "-");
    }
    const auto &own = results.at("own");
    const auto &reactive = results.at("reactive");
    const double bestBaseline = std::max(results.at("static").attainment, reactive.attainment);
    printFigure("placement.share_of_foresight" + suffix, own.attainment / results.at("foresight").attainment, "ratio", ">= 0.95");
    printFigure("placement.ahead_of_baselines" + suffix, own.attainment - bestBaseline, "share", "> 0");
    printFigure("placement.overcommit_events" + suffix, static_cast<double>(own.overcommits), "endpoint seconds", "0");
    printFigure("placement.unreachable_model_seconds" + suffix, static_cast<double>(own.unreachableSeconds), "s", "0");
    printFigure("placement.longest_step" + suffix, own.longestStepMilliseconds, "ms", "<= 5");
    if (site == "qc-est") {
        const double moves = static_cast<double>(own.moves) / std::max(1.0, static_cast<double>(reactive.moves));
        printFigure("placement.moves_of_reactive" + suffix, moves, "ratio", "<= 0.5");
        printFigure("placement.attainment_behind_reactive" + suffix, reactive.attainment - own.attainment, "share", "<= 0.02");
    }
}

/// Measures a store outage if all engines check terms, so that the lease holder continues, and if none does, so that placement freezes.
void printOutage(const std::string &site, const Trace &trace, unsigned seed)
{
    for (const bool checksFencing : {true, false}) {
        auto document = std::make_shared<configuration::Document>(*trace.before);
        for (auto &[id, endpoint] : document->endpoints) {
            endpoint.checksFencing = checksFencing;
        }
        auto changed = trace;
        changed.before = document;
        changed.after = document;
        const auto result = run(changed, ownPolicy(), seed);
        const std::string suffix = checksFencing ? ".all_check" : ".none_checks";
        printFigure("placement.outage_attainment." + site + suffix, result.attainment, "share", "-");
        printFigure("placement.outage_overcommit." + site + suffix, static_cast<double>(result.overcommits), "endpoint seconds", "0");
    }
}

void runSite(const std::string &site, const std::shared_ptr<const configuration::Document> &document, unsigned seed)
{
    if (!document) {
        std::fprintf(stderr, "cannot read examples/%s.toml; run the benchmark in the project's root folder\n", site.c_str());
        return;
    }
    for (const auto kind : Kinds) {
        const auto trace = generateTrace(document, kind, seed);
        printResults(site, trace, runPolicies(trace, seed));
        if (kind == TraceKind::StoreOutage) {
            printOutage(site, trace, seed);
        }
    }
}

const Section placementSection("placement", [](unsigned seed) {
    runSite("tx-central", readSite("tx-central"), seed);
    runSite("qc-est", readSite("qc-est"), seed);
    runSite("target-cell", targetCell(), seed);
});

} // namespace

} // namespace turmericplank::bench::policies
