#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "placementtrace.hpp"
#include "turmericplank/placement/planner.hpp"

namespace turmericplank::bench::policies {

/// @brief What a policy is given in addition to the planner's input.
struct PolicyContext
{
    const Trace &trace;
    std::size_t second = 0; ///< current second of the trace
};

/// @brief Chooses moves; the same controller carries out every policy under the same limits.
using Policy = std::function<std::vector<placement::Move>(const placement::PlanInput &, const PolicyContext &)>;

/// @brief Results of one trace with one policy.
struct RunResult
{
    double attainment = 0; ///< share of the weighted requests that found a free stream immediately
    std::uint64_t moves = 0; ///< loads, unloads and role changes after the warm-up, including those of adapters
    std::uint64_t adapterMoves = 0;
    std::uint64_t overcommits = 0; ///< seconds in which an endpoint used more memory than it has, summed over the endpoints
    std::uint64_t unreachableSeconds = 0; ///< seconds in which a model that had a replica before had none, summed over the models
    double longestStepMilliseconds = 0; ///< max CPU time of one planning step
};

/// @brief Simulates a site over a trace.
/// @param trace site, demand and events
/// @param policy chooses the moves
/// @param seed seed of the random demand
RunResult run(const Trace &trace, const Policy &policy, unsigned seed);

/// @brief Uses the project's planner.
Policy ownPolicy();
/// @brief Places replicas for the average demand of the whole trace during the warm-up; afterwards only repairs.
Policy staticPolicy();
/// @brief Adds and removes replicas of each model by its own utilization only.
Policy reactivePolicy();
/// @brief Uses the project's planner with a negligible move price and the actual peak demand of the next 30 seconds.
Policy foresightPolicy();

} // namespace turmericplank::bench::policies
