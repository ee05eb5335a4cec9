#pragma once

#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/configuration/reader.hpp"

namespace turmericplank::cli {

/// @brief A section read from a file.
struct SectionFile
{
    std::string text; ///< the section in TOML
    std::optional<std::uint64_t> revision; ///< revision that the file is based on, if it has the line written by show

    friend bool operator==(const SectionFile &, const SectionFile &) = default;
};

/// @brief Comment line that show writes above a section; edit reads the base revision from it.
std::string revisionLine(configuration::Section section, std::uint64_t revision);

/// @brief Reads a section from a file that holds only this section or a whole document.
/// @param section the section to read
/// @param text content of the file
/// @return the section, or all errors in it
tl::expected<SectionFile, std::vector<configuration::ParseError>> readSectionFile(configuration::Section section, const std::string &text);

} // namespace turmericplank::cli
