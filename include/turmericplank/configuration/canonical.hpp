#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/configuration/section.hpp"

namespace turmericplank::configuration {

/// @brief One table of a section in its canonical text; equal entries have equal text.
struct CanonicalEntry
{
    std::string name; ///< name within the section, empty for a section that is one table
    std::string text; ///< TOML with every key, in a fixed order

    friend auto operator<=>(const CanonicalEntry &, const CanonicalEntry &) = default;
    friend bool operator==(const CanonicalEntry &, const CanonicalEntry &) = default;
};

/// @brief Entries of one section in the order of their names.
/// @param document where they are taken from
/// @param section which section
std::vector<CanonicalEntry> canonicalEntries(const Document &document, Section section);

/// @brief Text of one section that parseSection() reads back into equal values.
/// @param document where it is taken from
/// @param section which section
std::string canonicalText(const Document &document, Section section);

/// @brief Text of the whole document that parseDocument() reads back into an equal one.
/// @param document the document
std::string canonicalText(const Document &document);

/// @brief Replaces one section of a document by that of another.
/// @param document what is changed
/// @param section which section
/// @param source where the section is taken from
void replaceSection(Document &document, Section section, const Document &source);

} // namespace turmericplank::configuration
