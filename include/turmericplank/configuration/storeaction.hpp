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

/// @brief Reads all rows of the configuration from one point in time.
struct ReadRows
{
    friend bool operator==(const ReadRows &, const ReadRows &) = default;
};

/// @brief Fetches objects by name, which is a digest or a changeName().
struct FetchObjects
{
    std::vector<std::string> names;

    friend bool operator==(const FetchObjects &, const FetchObjects &) = default;
};

/// @brief Puts objects under their names; all of them at once.
struct PutObjects
{
    std::map<std::string, std::string> objects;

    friend bool operator==(const PutObjects &, const PutObjects &) = default;
};

/// @brief Writes rows if their conditions hold.
struct WriteRows
{
    std::vector<store::RowWrite> writes;

    friend bool operator==(const WriteRows &, const WriteRows &) = default;
};

/// @brief Waits before the next try.
struct WaitUntil
{
    base::Time time;

    friend bool operator==(const WaitUntil &, const WaitUntil &) = default;
};

/// @brief The operation has ended; its result can be taken.
struct Finished
{
    friend bool operator==(const Finished &, const Finished &) = default;
};

/// @brief The one thing that an operation on the configuration waits for next.
using StoreStep = std::variant<ReadRows, FetchObjects, PutObjects, WriteRows, WaitUntil, Finished>;

/// @brief Answer to ReadRows.
struct RowsRead
{
    store::ReadResult rows;
};

/// @brief Answer to FetchObjects; objects that are absent are left out.
struct ObjectsFetched
{
    tl::expected<ObjectCache, store::TableFailure> objects;
};

/// @brief Answer to PutObjects.
struct ObjectsPut
{
    tl::expected<void, store::TableFailure> result;
};

/// @brief Answer to WriteRows.
struct RowsWritten
{
    store::WriteResult result;
};

/// @brief Answer to WaitUntil.
struct Waited
{
};

/// @brief What came of a step.
using StoreAnswer = std::variant<RowsRead, ObjectsFetched, ObjectsPut, RowsWritten, Waited>;

/// @brief Takes an object that a daemon holds already.
using ObjectLookup = std::function<const std::string *(const std::string &digest)>;

/// @brief Why an operation could not be carried out by the platform.
enum class StoreFailure {
    Unavailable, ///< nothing was changed and nothing will be
    OutcomeUnknown, ///< it could not be found out whether the change took effect, now or later
    Malformed, ///< a row or object cannot be read
};

} // namespace turmericplank::configuration
