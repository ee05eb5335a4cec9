#pragma once

#include <string>
#include <vector>

#include "turmericplank/configuration/canonical.hpp"

namespace turmericplank::configuration {

/// @brief One table that differs between two documents.
struct EntryDifference
{
    Section section = Section::Site;
    std::string name; ///< name within the section, empty if the section is a single table
    std::string before; ///< canonical text, empty if the entry is new
    std::string after; ///< canonical text, empty if the entry was removed

    friend auto operator<=>(const EntryDifference &, const EntryDifference &) = default;
    friend bool operator==(const EntryDifference &, const EntryDifference &) = default;
};

/// @brief All entries that differ, ordered by section and name.
using Difference = std::vector<EntryDifference>;

/// @brief Compares one section of two documents.
Difference differenceOf(const Document &before, const Document &after, Section section);

/// @brief Compares two documents.
Difference differenceOf(const Document &before, const Document &after);

/// @brief Formats a difference as canonical lines prefixed with `-` and `+`; common lines are left out, except the header of a changed table.
std::string toString(const Difference &difference);

} // namespace turmericplank::configuration
