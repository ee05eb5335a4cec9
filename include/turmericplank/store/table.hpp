#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/number.hpp"

namespace turmericplank::store {

/// @brief One row of the platform's transactional table.
struct Row
{
    std::string key;
    base::RowVersion version; ///< grows with each write of the row
    std::string value;

    friend auto operator<=>(const Row &, const Row &) = default;
    friend bool operator==(const Row &, const Row &) = default;
};

/// @brief One conditional write of a transaction.
struct RowWrite
{
    std::string key;
    std::optional<base::RowVersion> expectedVersion; ///< version that the row must have, zero for an absent row, nothing for any
    std::optional<std::string> value; ///< nothing deletes the row

    friend bool operator==(const RowWrite &, const RowWrite &) = default;
};

/// @brief Why a call of the table brought no result.
enum class TableFailure {
    Conflict, ///< a condition did not hold; nothing was written
    Unavailable, ///< refused before any effect
    Ambiguous, ///< no answer came; the write may have taken effect, now or later
};

/// @brief A call's failure, with the rows as they stand where a condition failed.
struct TableError
{
    TableFailure failure = TableFailure::Unavailable;
    std::vector<Row> conflicts; ///< present rows whose condition failed; an absent one has version zero

    friend bool operator==(const TableError &, const TableError &) = default;
};

/// @brief New versions of the written rows, in the order of the writes.
using WriteResult = tl::expected<std::vector<base::RowVersion>, TableError>;
/// @brief Rows that were found, in the order of their keys.
using ReadResult = tl::expected<std::vector<Row>, TableError>;

/// @brief The table as the shells see it; every call ends in exactly one call of its hook.
struct Table
{
    /// Writes all rows or none.
    std::function<void(std::vector<RowWrite>, std::function<void(WriteResult)>)> transact;
    /// Reads the rows whose keys start with a prefix, from one point in time.
    std::function<void(std::string, std::function<void(ReadResult)>)> readPrefix;
};

/// @brief The object store as the shells see it.
struct ObjectStore
{
    /// Writes an object whole under a name; writing the same bytes again is idempotent.
    std::function<void(std::string, std::string, std::function<void(tl::expected<void, TableFailure>)>)> put;
    /// Reads an object; an absent one is an empty optional.
    std::function<void(std::string, std::function<void(tl::expected<std::optional<std::string>, TableFailure>)>)> fetch;
};

} // namespace turmericplank::store
