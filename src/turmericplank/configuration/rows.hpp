#pragma once

#include <optional>
#include <string>
#include <vector>

#include "turmericplank/configuration/draft.hpp"
#include "turmericplank/configuration/pointer.hpp"
#include "turmericplank/configuration/rules.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::configuration {

/// @brief A consistent view of all configuration rows. Rows that do not exist have version zero.
struct Rows
{
    Draft draft;
    base::RowVersion draftVersion;
    Pointer pointer;
    base::RowVersion pointerVersion;
};

/// @brief Parses the rows.
/// @param rows rows as returned by the table
/// @return `std::nullopt` if one of them is malformed
std::optional<Rows> parseRows(const std::vector<store::Row> &rows);

/// @brief Tracks whether the writes of one operation were applied. All of them carry the operation's token.
class WriteTracker
{
public:
    WriteTracker(std::string token, const WriteRules &rules);

    /// @brief Records that a write is sent.
    /// @param rows rows that the write is based on
    void writeSent(const Rows &rows);

    /// @brief Records that the last write is known not to have been applied.
    void writeNotApplied();

    /// @brief Determines from the current rows whether a write was applied.
    /// @param rows rows that were read after the write
    /// @param record receives the record of an applied write
    WriteOutcome resolve(const Rows &rows, WriteRecord &record);

    /// @brief Whether an earlier write may have been applied or may still be applied.
    bool isUnresolved() const;

    /// @brief Returns the token of all writes.
    const std::string &token() const;

private:
    std::string m_token;
    WriteRules m_rules;
    bool m_isUnresolved = false; ///< whether a write has no known outcome
    base::RowVersion m_draftVersion; ///< draft version that the latest write was conditional on
    std::uint64_t m_sequence = 0; ///< sequence number that the latest write would produce
    bool m_wasUnresolved = false; ///< m_isUnresolved before the latest write
};

} // namespace turmericplank::configuration
