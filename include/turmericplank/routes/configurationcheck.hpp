#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/routes/siteconfiguration.hpp"

namespace turmericplank::routes {

/// @brief What is wrong with an entry of a configuration.
enum class FindingKind {
    Error, ///< calls are refused or misdirected because of it
    NeverMatches, ///< no call can reach the entry
    Contradiction, ///< two limits cannot both be met
};

/// @brief Name of a kind in the output of commands.
std::string_view toString(FindingKind kind);

/// @brief One finding, with the entry that it concerns.
struct Finding
{
    FindingKind kind = FindingKind::Error;
    std::string place; ///< for example "route live" or "account acme"
    std::string text; ///< what was found, and what was expected

    friend auto operator<=>(const Finding &, const Finding &) = default;
    friend bool operator==(const Finding &, const Finding &) = default;
};

/// @brief Checks a configuration before it is put in force.
/// @return the findings, in the order of routes, services and accounts; empty if there is none
std::vector<Finding> checkConfiguration(const SiteConfiguration &configuration);

/// @brief Describes what a configuration changes, one line for each entry that is added, removed or changed. Keys are counted, not shown.
/// @param current the configuration in force
/// @param next the one that is to replace it
std::vector<std::string> describeChanges(const SiteConfiguration &current, const SiteConfiguration &next);

} // namespace turmericplank::routes
