#pragma once

#include <iosfwd>
#include <string>
#include <string_view>

namespace turmericplank::cli {

/// @brief Whether a text looks like a configuration of the users' platform, which is JSON, rather than an own document.
bool isSiteConfiguration(std::string_view text);

/// @brief Checks a configuration of the users' platform and tells what it changes.
/// @param name of the configuration in the output
/// @param text the configuration
/// @param inForce the configuration that it is to replace; empty for none
/// @param output gets findings and changes, one a line
/// @return an exit code: Success without findings, Failed with some, Malformed if either configuration cannot be decoded
int checkSiteConfiguration(const std::string &name, const std::string &text, const std::string &inForce, std::ostream &output);

} // namespace turmericplank::cli
