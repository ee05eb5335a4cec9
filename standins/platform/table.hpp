#pragma once

#include <map>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/store/table.hpp"

namespace turmericplank::standins::platform {

using turmericplank::store::Row;
using turmericplank::store::RowWrite;

/// @brief Rows of the transactional table; versions are never used twice, also not by a row that was deleted.
class Table
{
public:
    /// @brief Writes all rows or none.
    /// @param writes conditional writes, each of another row
    /// @return the new versions in the order of the writes, or the rows whose conditions failed
    tl::expected<std::vector<base::RowVersion>, std::vector<Row>> transact(const std::vector<RowWrite> &writes);

    /// @brief Rows whose keys start with a prefix, in the order of their keys.
    /// @param prefix start of the keys, empty for all
    std::vector<Row> rows(const std::string &prefix) const;

private:
    Row currentRow(const std::string &key) const;

    std::map<std::string, Row> m_rows;
    base::RowVersion m_lastVersion;
};

} // namespace turmericplank::standins::platform
