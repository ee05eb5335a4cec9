#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/configuration/section.hpp"

namespace turmericplank::configuration {

/// @brief Canonical text of one table of a section; equal tables have equal text.
struct CanonicalEntry
{
    std::string name; ///< name within the section, empty if the section is a single table
    std::string text; ///< TOML with all keys in a fixed order

    friend auto operator<=>(const CanonicalEntry &, const CanonicalEntry &) = default;
    friend bool operator==(const CanonicalEntry &, const CanonicalEntry &) = default;
};

/// @brief Returns the entries of one section in the order of their names.
std::vector<CanonicalEntry> canonicalEntries(const Document &document, Section section);

/// @brief Returns the canonical text of one section, which parseSection() reads back into equal values.
std::string canonicalText(const Document &document, Section section);

/// @brief Returns the canonical text of the document, which parseDocument() reads back into an equal document.
std::string canonicalText(const Document &document);

/// @brief Replaces one section of a document by the same section of another document.
/// @param document document to change
/// @param section section to replace
/// @param source document to copy the section from
void replaceSection(Document &document, Section section, const Document &source);

} // namespace turmericplank::configuration
