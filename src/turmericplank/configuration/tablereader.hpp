#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/priority.hpp"
#include "turmericplank/configuration/reader.hpp"

namespace turmericplank::configuration {

/// @brief Whether a key must be present in its table.
enum class Presence { Required, Optional };

/// @brief Reads the keys of one table into typed fields and collects all errors. The field of an invalid key keeps its value.
class TableReader
{
public:
    /// @param table the table to read
    /// @param section dotted name of the table, used in errors
    /// @param errors receives the errors
    TableReader(const toml::table &table, std::string section, std::vector<ParseError> &errors);

    /// @brief Reads a string of 1 to 1024 bytes without control characters.
    void text(std::string_view key, Presence presence, std::string &field);
    /// @brief Reads an integer from `min` to `max`.
    void integer(std::string_view key, Presence presence, std::uint32_t &field, std::uint32_t min, std::uint32_t max);
    /// @brief Reads an integer or floating-point number from 0 to `max`.
    void number(std::string_view key, Presence presence, double &field, double max);
    /// @brief Reads a boolean.
    void boolean(std::string_view key, Presence presence, bool &field);
    /// @brief Reads an IPv4 address with a port.
    void address(std::string_view key, Presence presence, base::Address &field);
    /// @brief Reads an availability zone written as region/zone.
    void zone(std::string_view key, Presence presence, std::string &field);
    /// @brief Reads a string that is one of the given choices.
    void choice(std::string_view key, Presence presence, std::string &field, const std::vector<std::string_view> &choices);
    /// @brief Reads an array of tables.
    /// @return the tables in the order of the text
    std::vector<const toml::table *> tables(std::string_view key, Presence presence);

    /// @brief Adds an error for every key of the table that was not read.
    void rejectUnknownKeys();

private:
    const toml::node *find(std::string_view key, Presence presence, std::string_view expected);
    void addError(ParseErrorKind kind, std::string_view key, const toml::node &node, std::string expected);

    const toml::table &m_table;
    std::string m_section;
    std::vector<ParseError> &m_errors;
    std::set<std::string, std::less<>> m_readKeys;
};

/// @brief Whether a name is safe in paths, log lines and headers: 1 to 128 letters, digits, `.`, `_`, `-` and `:`.
bool isValidName(std::string_view name);

/// @brief Returns the line at which a node starts.
int lineOf(const toml::node &node);

} // namespace turmericplank::configuration
