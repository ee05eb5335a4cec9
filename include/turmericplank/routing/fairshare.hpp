#pragma once

#include <vector>

namespace turmericplank::routing {

/// @brief Max-min fair share of an amount that several claimants divide.
///
/// Each gets what it demands, but no more than an even part of what those with lower demands leave. What nobody demands is split evenly, so that
/// any claimant whose demand rises has some at once.
/// @param demand of this claimant
/// @param others demands of the others
/// @param amount to be divided
double fairShare(double demand, const std::vector<double> &others, double amount);

} // namespace turmericplank::routing
