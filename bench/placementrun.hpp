#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "placementtrace.hpp"
#include "turmericplank/placement/planner.hpp"

namespace turmericplank::bench::policies {

/// @brief What a policy is told beside the planner's input.
struct Moment
{
    const Trace &trace;
    std::size_t second = 0;
};

/// @brief Chooses moves; every policy is carried out by the same controller under the same limits.
using Policy = std::function<std::vector<placement::Move>(const placement::PlanInput &, const Moment &)>;

/// @brief What came out of one trace under one policy.
struct RunResult
{
    double attainment = 0; ///< share of the weighted requests that found a free stream at once
    std::uint64_t moves = 0; ///< loads, unloads and role changes after the warm-up, those of adapters included
    std::uint64_t adapterMoves = 0;
    std::uint64_t overcommits = 0; ///< endpoint seconds with more memory in use than there is
    std::uint64_t unreachableSeconds = 0; ///< model seconds without a replica since the first one
    double longestStepMilliseconds = 0;
};

/// @brief Steps a site through a trace.
/// @param trace site, demand and events
/// @param policy chooses the moves
/// @param seed of the noise of the demand
RunResult run(const Trace &trace, const Policy &policy, unsigned seed);

/// @brief The project's planner.
Policy ownPolicy();
/// @brief Replicas for the average demand of the whole trace; afterwards only repairs.
Policy staticPolicy();
/// @brief Each model gets and loses replicas by its own use alone.
Policy reactivePolicy();
/// @brief The project's planner at no price, told the demand of the next half minute.
Policy foresightPolicy();

} // namespace turmericplank::bench::policies
