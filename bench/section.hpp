#pragma once

#include <functional>
#include <string>

namespace turmericplank::bench {

/// @brief Prints one figure: name, value, unit and target, separated by tabs.
/// @param name dotted name of the figure
/// @param value what was measured
/// @param unit unit of the value
/// @param target bound from the stated target, for example "<= 8" or "-" for none
void printFigure(const std::string &name, double value, const std::string &unit, const std::string &target);

/// @brief A section of the benchmark program; a static object of it in a file of bench/ registers it.
struct Section
{
    /// @param sectionName the word on the command line
    /// @param run measures and prints, with the given seed
    Section(const std::string &sectionName, std::function<void(unsigned seed)> run);
};

} // namespace turmericplank::bench
