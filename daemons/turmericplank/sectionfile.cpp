#include "sectionfile.hpp"

#include <charconv>

#include "turmericplank/configuration/canonical.hpp"

namespace turmericplank::cli {

namespace {

std::string revisionPrefix(configuration::Section section)
{
    return "# section " + std::string(toString(section)) + " revision ";
}

std::optional<std::uint64_t> revisionIn(configuration::Section section, const std::string &text)
{
    const auto prefix = revisionPrefix(section);
    const auto found = text.find(prefix);
    if (found == std::string::npos || (found > 0 && text[found - 1] != '\n')) {
        return std::nullopt;
    }
    std::uint64_t revision = 0;
    const auto *begin = text.data() + found + prefix.size();
    const auto result = std::from_chars(begin, text.data() + text.size(), revision);
    return result.ec == std::errc() ? std::optional(revision) : std::nullopt;
}

} // namespace

std::string revisionLine(configuration::Section section, std::uint64_t revision)
{
    return revisionPrefix(section) + std::to_string(revision) + "\n";
}

tl::expected<SectionFile, std::vector<configuration::ParseError>> readSectionFile(configuration::Section section, const std::string &text)
{
    const auto revision = revisionIn(section, text);
    if (const auto document = configuration::parseDocument(text)) {
        return SectionFile{configuration::canonicalText(*document, section), revision};
    }
    const auto alone = configuration::parseSection(section, text);
    if (alone) {
        return SectionFile{text, revision};
    }
    return tl::unexpected(alone.error());
}

} // namespace turmericplank::cli
