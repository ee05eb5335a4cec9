#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/configuration/section.hpp"

namespace turmericplank::configuration {

/// @brief What kind of mistake a document holds.
enum class MistakeKind {
    Syntax, ///< not TOML; nothing behind the line was read
    UnknownSection,
    UnknownKey,
    MissingKey,
    WrongType,
    OutOfRange,
    InvalidName,
};

/// @brief One mistake in a document's text.
struct ParseError
{
    MistakeKind kind = MistakeKind::Syntax;
    std::string section; ///< dotted name of the table, for example models.advisor-7b
    std::string key; ///< empty where the table itself is meant
    int line = 0; ///< line in the text, from 1
    std::string expected; ///< what should stand there

    friend bool operator==(const ParseError &, const ParseError &) = default;
};

/// @brief One line about a mistake, as the operators' commands print it.
/// @param mistake the mistake
std::string toString(const ParseError &mistake);

/// @brief Reads a whole document; references between sections are checked on acceptance, not here.
/// @param text the document in TOML
/// @return the document, or every mistake that was found, in the order of their lines
tl::expected<Document, std::vector<ParseError>> parseDocument(std::string_view text);

/// @brief Reads the text of one section, or a part of it; any other section in it is a mistake.
/// @param section the section that the text may hold
/// @param text the section in TOML, with its headers
/// @return a document in which only that section is filled, or every mistake that was found
tl::expected<Document, std::vector<ParseError>> parseSection(Section section, std::string_view text);

} // namespace turmericplank::configuration
