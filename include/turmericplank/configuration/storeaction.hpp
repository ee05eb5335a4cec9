#pragma once

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/time.hpp"
#include "turmericplank/configuration/documentobjects.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::configuration {

/// @brief Reads a consistent view of all configuration rows.
struct ReadRows
{
    friend bool operator==(const ReadRows &, const ReadRows &) = default;
};

/// @brief Fetches objects by name, which is a digest or a changeObjectName().
struct FetchObjects
{
    std::vector<std::string> names;

    friend bool operator==(const FetchObjects &, const FetchObjects &) = default;
};

/// @brief Stores objects under their names, in parallel.
struct PutObjects
{
    std::map<std::string, std::string> objects;

    friend bool operator==(const PutObjects &, const PutObjects &) = default;
};

/// @brief Writes rows in one transaction if their conditions hold.
struct WriteRows
{
    std::vector<store::RowWrite> writes;

    friend bool operator==(const WriteRows &, const WriteRows &) = default;
};

/// @brief Waits before the next attempt.
struct WaitUntil
{
    base::Time time;

    friend bool operator==(const WaitUntil &, const WaitUntil &) = default;
};

/// @brief The operation has ended and its result is available.
struct Finished
{
    friend bool operator==(const Finished &, const Finished &) = default;
};

/// @brief Next action of an operation on the configuration. An operation waits for one action at a time.
using StoreAction = std::variant<ReadRows, FetchObjects, PutObjects, WriteRows, WaitUntil, Finished>;

/// @brief Response to ReadRows.
struct RowsRead
{
    store::ReadResult rows;
};

/// @brief Response to FetchObjects; objects that do not exist are left out.
struct ObjectsFetched
{
    tl::expected<ObjectCache, store::TableFailure> objects;
};

/// @brief Response to PutObjects.
struct ObjectsPut
{
    tl::expected<void, store::TableFailure> result;
};

/// @brief Response to WriteRows.
struct RowsWritten
{
    store::WriteResult result;
};

/// @brief Response to WaitUntil.
struct Waited
{
};

/// @brief Response to a StoreAction.
using StoreResponse = std::variant<RowsRead, ObjectsFetched, ObjectsPut, RowsWritten, Waited>;

/// @brief Finds the content of an object that the daemon already holds, `nullptr` if it does not.
using ObjectLookup = std::function<const std::string *(const std::string &digest)>;

/// @brief Why an operation failed in the platform's store.
enum class StoreFailure {
    Unavailable, ///< nothing was changed or will be changed by this operation
    OutcomeUnknown, ///< the change may have been applied or may still be applied later
    Malformed, ///< a row or object cannot be read
};

} // namespace turmericplank::configuration
