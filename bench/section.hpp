#pragma once

#include <functional>
#include <string>

namespace turmericplank::bench {

/// @brief Prints one figure: name, value, unit and target, separated by tabs.
/// @param name dotted name of the figure
/// @param value measured value
/// @param unit unit of the value
/// @param target required bound, for example "<= 8", or "-" if there is none
void printFigure(const std::string &name, double value, const std::string &unit, const std::string &target);

/// @brief Registers a section of the benchmark program; each section is a static object in a file of bench/.
struct Section
{
    /// @param sectionName name of the section on the command line
    /// @param run measures and prints the section's figures with the given seed
    Section(const std::string &sectionName, std::function<void(unsigned seed)> run);
};

} // namespace turmericplank::bench
