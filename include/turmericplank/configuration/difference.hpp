#pragma once

#include <string>
#include <vector>

#include "turmericplank/configuration/canonical.hpp"

namespace turmericplank::configuration {

/// @brief One table of the document that differs between two states.
struct EntryDifference
{
    Section section = Section::Site;
    std::string name; ///< name within the section, empty for a section that is one table
    std::string before; ///< canonical text, empty if the entry is new
    std::string after; ///< canonical text, empty if the entry is gone

    friend auto operator<=>(const EntryDifference &, const EntryDifference &) = default;
    friend bool operator==(const EntryDifference &, const EntryDifference &) = default;
};

/// @brief All entries that differ, in the order of sections and names.
using Difference = std::vector<EntryDifference>;

/// @brief Compares one section of two documents.
/// @param before the earlier state
/// @param after the later state
/// @param section which section
Difference differenceOf(const Document &before, const Document &after, Section section);

/// @brief Compares two documents.
/// @param before the earlier state
/// @param after the later state
Difference differenceOf(const Document &before, const Document &after);

/// @brief Text of a difference: lines of the canonical form behind - and +, common lines left out.
/// @param difference what differs
std::string toString(const Difference &difference);

} // namespace turmericplank::configuration
