#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/configuration/section.hpp"

namespace turmericplank::configuration {

/// @brief Kind of error in a document's text.
enum class ParseErrorKind {
    Syntax, ///< not valid TOML, or a non-ASCII character outside a comment line; keys and values were not checked
    UnknownSection,
    UnknownKey,
    MissingKey,
    WrongType,
    OutOfRange,
    InvalidName,
};

/// @brief One error in a document's text.
struct ParseError
{
    ParseErrorKind kind = ParseErrorKind::Syntax;
    std::string section; ///< dotted name of the table, for example models.advisor-7b
    std::string key; ///< empty if the error concerns the table itself
    int line = 0; ///< line in the text, starting at 1
    std::string expected; ///< description of what is valid there

    friend bool operator==(const ParseError &, const ParseError &) = default;
};

/// @brief Formats an error as the single line that the operators' commands print.
std::string toString(const ParseError &error);

/// @brief Parses a whole document. References between sections are checked by validate(), not here.
/// @param text the document in TOML; non-ASCII characters are allowed only in comment lines
/// @return the document, or all errors in the order of their lines
tl::expected<Document, std::vector<ParseError>> parseDocument(std::string_view text);

/// @brief Parses one section or a part of it. Any other section in the text is an error.
/// @param section the only section that the text may contain
/// @param text the section in TOML, with its table headers; non-ASCII characters are allowed only in comment lines
/// @return a document in which only that section is filled, or all errors in the order of their lines
tl::expected<Document, std::vector<ParseError>> parseSection(Section section, std::string_view text);

} // namespace turmericplank::configuration
