#pragma once

#include <optional>
#include <string>
#include <vector>

#include "turmericplank/configuration/draft.hpp"
#include "turmericplank/configuration/pointer.hpp"
#include "turmericplank/configuration/rules.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::configuration {

/// @brief All rows of the configuration as read at one point in time; absent rows have version zero.
struct Rows
{
    Draft draft;
    base::RowVersion draftVersion;
    Pointer pointer;
    base::RowVersion pointerVersion;
};

/// @brief Reads the rows.
/// @param rows what the table returned
/// @return nothing if one of them is malformed
std::optional<Rows> parseRows(const std::vector<store::Row> &rows);

/// @brief Finds out whether writes of one operation took effect, all of which carry the same token.
class Settlement
{
public:
    Settlement(std::string token, const WriteRules &rules);

    /// @brief Notes that a write is on its way.
    /// @param rows what it was made from
    void begin(const Rows &rows);

    /// @brief Notes that the last write is known not to have taken effect.
    void refuse();

    /// @brief Compares with the rows as they stand now.
    /// @param rows rows that were read after the write
    /// @param record receives the record of an effective write
    WriteTrace trace(const Rows &rows, WriteRecord &record);

    /// @brief Whether an earlier write may have taken effect or may still do so.
    bool isOpen() const;

    /// @brief The token of all writes.
    const std::string &token() const;

private:
    std::string m_token;
    WriteRules m_rules;
    bool m_isOpen = false; ///< some write has no answer
    base::RowVersion m_draftVersion; ///< condition of the writes without an answer
    std::uint64_t m_sequence = 0;
    bool m_wasOpen = false;
};

} // namespace turmericplank::configuration
