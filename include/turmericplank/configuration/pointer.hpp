#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/configuration/documentobjects.hpp"

namespace turmericplank::configuration {

/// @brief Key of the row that says which revisions are in force and pending.
inline constexpr std::string_view PointerKey = "configuration/pointer";

/// @brief One accepted revision.
struct PointerEntry
{
    base::Revision revision;
    std::string digest; ///< digest of the whole document
    base::Time inForceFrom; ///< when all daemons switch to it
    SectionDigests sections;

    friend bool operator==(const PointerEntry &, const PointerEntry &) = default;
};

/// @brief Accepted revisions, lowest first: the one in force when it was written and those still to come.
///
/// Pending entries stay listed until they are in force, so that a daemon that missed one switches with the others.
struct Pointer
{
    std::vector<PointerEntry> entries;

    /// @brief The newest revision, zero before the first.
    base::Revision highest() const;

    /// @brief The newest entry that is in force at a time.
    /// @param now the time
    /// @return nullptr if none is yet
    const PointerEntry *inForceAt(base::Time now) const;

    friend bool operator==(const Pointer &, const Pointer &) = default;
};

/// @brief Adds an entry and drops those that no daemon needs any more.
/// @param pointer the pointer as it was read
/// @param entry the new one; its time is moved behind that of the entry before it
/// @param now the present
Pointer withEntry(const Pointer &pointer, PointerEntry entry, base::Time now);

/// @brief Name of the object that holds what a revision changed, for daemons that hold the one before.
/// @param from digest of the document before
/// @param to digest of the document after
std::string changeName(const std::string &from, const std::string &to);

/// @brief Writes several objects as one.
/// @param objects what to hold
std::string encodeObjects(const std::vector<ContentObject> &objects);

/// @brief Reads what encodeObjects() wrote; objects whose bytes do not fit their digest are left out.
/// @param bytes the encoded objects
std::vector<ContentObject> decodeObjects(std::string_view bytes);

/// @brief Writes the row's value.
/// @param pointer the entries
std::string encodePointer(const Pointer &pointer);

/// @brief Reads the row's value.
/// @param text the value
/// @return nothing if it is malformed
std::optional<Pointer> decodePointer(std::string_view text);

} // namespace turmericplank::configuration
