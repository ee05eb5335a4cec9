#pragma once

#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/configuration/reader.hpp"

namespace turmericplank::cli {

/// @brief A section as a team's file holds it.
struct SectionFile
{
    std::string text; ///< the section in TOML
    std::optional<std::uint64_t> revision; ///< revision that the file was made from, as show wrote it

    friend bool operator==(const SectionFile &, const SectionFile &) = default;
};

/// @brief First line that show writes above a section, so that edit knows what the file was made from.
/// @param section the section
/// @param revision its revision
std::string revisionLine(configuration::Section section, std::uint64_t revision);

/// @brief Reads a section out of a file that holds it alone or the whole document.
/// @param section the wanted section
/// @param text the file's text
/// @return the section, or every mistake in it
tl::expected<SectionFile, std::vector<configuration::ParseError>> readSectionFile(configuration::Section section, const std::string &text);

} // namespace turmericplank::cli
