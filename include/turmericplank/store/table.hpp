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
    base::RowVersion version; ///< increases with each write of the row
    std::string value;

    friend auto operator<=>(const Row &, const Row &) = default;
    friend bool operator==(const Row &, const Row &) = default;
};

/// @brief One conditional write of a transaction.
struct RowWrite
{
    std::string key;
    std::optional<base::RowVersion> expectedVersion; ///< version that the row must have; zero if it must be absent, nothing for any
    std::optional<std::string> value; ///< nothing deletes the row

    friend bool operator==(const RowWrite &, const RowWrite &) = default;
};

/// @brief Why a call of the table failed.
enum class TableFailure {
    Conflict, ///< a condition was not met; nothing was written
    Unavailable, ///< rejected before it had any effect
    Ambiguous, ///< no answer; the write may have taken effect or may still do so
};

/// @brief Failure of a call, with the current rows whose conditions were not met.
struct TableError
{
    TableFailure failure = TableFailure::Unavailable;
    std::vector<Row> conflicts; ///< current rows whose conditions were not met; an absent row has version zero

    friend bool operator==(const TableError &, const TableError &) = default;
};

/// @brief New versions of the written rows, in the order of the writes.
using WriteResult = tl::expected<std::vector<base::RowVersion>, TableError>;
/// @brief The rows found, ordered by key.
using ReadResult = tl::expected<std::vector<Row>, TableError>;

/// @brief Asynchronous interface of the table; every call ends in exactly one call of its callback.
struct Table
{
    /// Writes all rows or none.
    std::function<void(std::vector<RowWrite>, std::function<void(WriteResult)>)> transact;
    /// Reads the rows whose keys start with a prefix, as a consistent snapshot.
    std::function<void(std::string, std::function<void(ReadResult)>)> readPrefix;
};

/// @brief Asynchronous interface of the object store.
struct ObjectStore
{
    /// Writes a complete object under a name; writing the same bytes again is idempotent.
    std::function<void(std::string, std::string, std::function<void(tl::expected<void, TableFailure>)>)> put;
    /// Reads an object; the optional is empty if it does not exist.
    std::function<void(std::string, std::function<void(tl::expected<std::optional<std::string>, TableFailure>)>)> fetch;
};

} // namespace turmericplank::store
