#include "tablereader.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::configuration {

namespace {

constexpr std::size_t MaxNameLength = 128; ///< bytes
constexpr std::size_t MaxTextLength = 1024; ///< bytes

bool isValidText(std::string_view text)
{
    const auto isControl = [](char it) {
        return static_cast<unsigned char>(it) < ' ' || it == '\x7f';
    };
    return !text.empty() && text.size() <= MaxTextLength && std::none_of(text.begin(), text.end(), isControl);
}

bool isNameCharacter(char it)
{
    const bool isLetter = (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z');
    const bool isDigit = it >= '0' && it <= '9';
    return isLetter || isDigit || it == '.' || it == '_' || it == '-' || it == ':';
}

bool isZone(std::string_view text)
{
    const auto slash = text.find('/');
    return slash != std::string_view::npos && isValidName(text.substr(0, slash)) && isValidName(text.substr(slash + 1));
}

std::string joinAlternatives(const std::vector<std::string_view> &choices)
{
    std::string text;
    for (const auto it : choices) {
        text += text.empty() ? "" : " or ";
        text += it;
    }
    return text;
}

} // namespace

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= MaxNameLength && std::all_of(name.begin(), name.end(), isNameCharacter);
}

int lineOf(const toml::node &node)
{
    return static_cast<int>(node.source().begin.line);
}

TableReader::TableReader(const toml::table &table, std::string section, std::vector<ParseError> &errors)
    : m_table(table)
    , m_section(std::move(section))
    , m_errors(errors)
{
}

void TableReader::text(std::string_view key, Presence presence, std::string &field)
{
    constexpr std::string_view Expected = "string of 1 to 1024 bytes without control characters";
    const auto *node = find(key, presence, Expected);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        addError(ParseErrorKind::WrongType, key, *node, std::string(Expected));
    } else if (!isValidText(*value)) {
        addError(ParseErrorKind::OutOfRange, key, *node, std::string(Expected));
    } else {
        field = *value;
    }
}

void TableReader::integer(std::string_view key, Presence presence, std::uint32_t &field, std::uint32_t min, std::uint32_t max)
{
    const auto expected = "integer from " + std::to_string(min) + " to " + std::to_string(max);
    const auto *node = find(key, presence, expected);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        addError(ParseErrorKind::WrongType, key, *node, expected);
    } else if (*value < min || *value > max) {
        addError(ParseErrorKind::OutOfRange, key, *node, expected);
    } else {
        field = static_cast<std::uint32_t>(*value);
    }
}

void TableReader::number(std::string_view key, Presence presence, double &field, double max)
{
    const auto expected = "number from 0 to " + std::to_string(static_cast<std::int64_t>(max));
    const auto *node = find(key, presence, expected);
    if (node == nullptr) {
        return;
    }
    const bool isNumber = node->is_integer() || node->is_floating_point();
    const auto value = isNumber ? node->value<double>() : std::nullopt;
    if (!value) {
        addError(ParseErrorKind::WrongType, key, *node, expected);
    } else if (!std::isfinite(*value) || *value < 0 || *value > max) {
        addError(ParseErrorKind::OutOfRange, key, *node, expected);
    } else {
        field = *value;
    }
}

void TableReader::boolean(std::string_view key, Presence presence, bool &field)
{
    const auto *node = find(key, presence, "true or false");
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        addError(ParseErrorKind::WrongType, key, *node, "true or false");
        return;
    }
    field = *value;
}

void TableReader::address(std::string_view key, Presence presence, base::Address &field)
{
    constexpr std::string_view Expected = "IPv4 address and port, for example 10.0.0.7:8080";
    const auto *node = find(key, presence, Expected);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        addError(ParseErrorKind::WrongType, key, *node, std::string(Expected));
        return;
    }
    const auto parsed = base::parseAddress(*value);
    if (!parsed) {
        addError(ParseErrorKind::OutOfRange, key, *node, std::string(Expected));
        return;
    }
    field = *parsed;
}

void TableReader::zone(std::string_view key, Presence presence, std::string &field)
{
    constexpr std::string_view Expected = "availability zone in the form region/zone";
    const auto *node = find(key, presence, Expected);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        addError(ParseErrorKind::WrongType, key, *node, std::string(Expected));
    } else if (!isZone(*value)) {
        addError(ParseErrorKind::OutOfRange, key, *node, std::string(Expected));
    } else {
        field = *value;
    }
}

void TableReader::choice(std::string_view key, Presence presence, std::string &field, const std::vector<std::string_view> &choices)
{
    const auto expected = joinAlternatives(choices);
    const auto *node = find(key, presence, expected);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        addError(ParseErrorKind::WrongType, key, *node, expected);
    } else if (std::find(choices.begin(), choices.end(), *value) == choices.end()) {
        addError(ParseErrorKind::OutOfRange, key, *node, expected);
    } else {
        field = *value;
    }
}

std::vector<const toml::table *> TableReader::tables(std::string_view key, Presence presence)
{
    std::vector<const toml::table *> found;
    const auto *node = find(key, presence, "array of tables");
    if (node == nullptr) {
        return found;
    }
    const auto *array = node->as_array();
    if (array == nullptr) {
        addError(ParseErrorKind::WrongType, key, *node, "array of tables");
        return found;
    }
    for (const auto &it : *array) {
        if (const auto *table = it.as_table()) {
            found.push_back(table);
        } else {
            addError(ParseErrorKind::WrongType, key, it, "table");
        }
    }
    return found;
}

void TableReader::rejectUnknownKeys()
{
    for (const auto &[key, node] : m_table) {
        if (!m_readKeys.contains(key.str())) {
            addError(ParseErrorKind::UnknownKey, key.str(), node, "no such key");
        }
    }
}

const toml::node *TableReader::find(std::string_view key, Presence presence, std::string_view expected)
{
    m_readKeys.emplace(key);
    const auto *node = m_table.get(key);
    if (node == nullptr && presence == Presence::Required) {
        addError(ParseErrorKind::MissingKey, key, m_table, std::string(expected));
    }
    return node;
}

void TableReader::addError(ParseErrorKind kind, std::string_view key, const toml::node &node, std::string expected)
{
    m_errors.push_back({.kind = kind, .section = m_section, .key = std::string(key), .line = lineOf(node), .expected = std::move(expected)});
}

} // namespace turmericplank::configuration
