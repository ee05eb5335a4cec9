#pragma once

#include <map>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/store/table.hpp"

namespace turmericplank::standins::platform {

using turmericplank::store::Row;
using turmericplank::store::RowWrite;

/// @brief Rows of the transactional table. A version number is never used twice, not even if its row was deleted.
class Table
{
public:
    /// @brief Writes all rows or none.
    /// @param writes conditional writes, each to a different row
    /// @return new versions in the order of the writes, or the current rows whose conditions failed
    tl::expected<std::vector<base::RowVersion>, std::vector<Row>> transact(const std::vector<RowWrite> &writes);

    /// @brief Rows whose keys start with a prefix, ordered by key.
    /// @param prefix prefix of the keys, empty for all rows
    std::vector<Row> rows(const std::string &prefix) const;

private:
    Row currentRow(const std::string &key) const;

    std::map<std::string, Row> m_rows;
    base::RowVersion m_lastVersion;
};

} // namespace turmericplank::standins::platform
