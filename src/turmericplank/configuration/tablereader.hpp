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

/// @brief Whether a key must stand in its table.
enum class Presence { Required, Optional };

/// @brief Reads the keys of one table into typed fields and notes each mistake; a field whose key is wrong keeps its value.
class TableReader
{
public:
    /// @param table the table to read
    /// @param section dotted name for mistakes
    /// @param mistakes receives what is wrong
    TableReader(const toml::table &table, std::string section, std::vector<ParseError> &mistakes);

    /// @brief Reads a text that is not empty and holds no control characters.
    void text(std::string_view key, Presence presence, std::string &field);
    /// @brief Reads a whole number.
    void whole(std::string_view key, Presence presence, std::uint32_t &field, std::uint32_t lowest, std::uint32_t highest);
    /// @brief Reads a number that is not negative.
    void number(std::string_view key, Presence presence, double &field, double highest);
    /// @brief Reads true or false.
    void flag(std::string_view key, Presence presence, bool &field);
    /// @brief Reads an IP number and a port.
    void address(std::string_view key, Presence presence, base::Address &field);
    /// @brief Reads a zone written region/zone.
    void zone(std::string_view key, Presence presence, std::string &field);
    /// @brief Reads one of some words.
    void word(std::string_view key, Presence presence, std::string &field, const std::vector<std::string_view> &words);
    /// @brief Reads an array of tables.
    /// @return the tables in their order
    std::vector<const toml::table *> tables(std::string_view key, Presence presence);

    /// @brief Notes every key that no call has asked for.
    void finish();

private:
    const toml::node *find(std::string_view key, Presence presence, std::string_view expected);
    void note(MistakeKind kind, std::string_view key, const toml::node &node, std::string expected);

    const toml::table &m_table;
    std::string m_section;
    std::vector<ParseError> &m_mistakes;
    std::set<std::string, std::less<>> m_asked;
};

/// @brief Whether a name may stand in addresses, log lines and headers: letters, digits and . _ - : and at most 128 of them.
/// @param name the name
bool isValidName(std::string_view name);

/// @brief Line at which a node starts.
/// @param node any node of a parsed text
int lineOf(const toml::node &node);

} // namespace turmericplank::configuration
