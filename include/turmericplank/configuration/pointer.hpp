#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/configuration/documentobjects.hpp"

namespace turmericplank::configuration {

/// @brief Key of the row that lists the revisions in force and pending.
inline constexpr std::string_view PointerKey = "configuration/pointer";

/// @brief One accepted revision.
struct PointerEntry
{
    base::Revision revision;
    std::string digest; ///< digest of the whole document
    base::Time inForceFrom; ///< time at which all daemons switch to it
    SectionDigests sections;

    friend bool operator==(const PointerEntry &, const PointerEntry &) = default;
};

/// @brief Accepted revisions, lowest first: the one in force when the row was written, and the pending ones.
///
/// Pending entries stay listed until they are in force, so that a daemon that missed one still switches in time.
struct Pointer
{
    std::vector<PointerEntry> entries;

    /// @brief Returns the newest revision, zero if nothing was accepted yet.
    base::Revision highest() const;

    /// @brief Returns the newest entry that is in force at the given time, `nullptr` if there is none.
    const PointerEntry *inForceAt(base::Time now) const;

    friend bool operator==(const Pointer &, const Pointer &) = default;
};

/// @brief Appends an entry and drops the superseded ones that no daemon needs anymore.
/// @param pointer the pointer as it was read
/// @param entry the new entry; it comes into force no earlier than the entry before it, whatever its own time
/// @param now current time
Pointer appendEntry(const Pointer &pointer, PointerEntry entry, base::Time now);

/// @brief Name of the object that holds what a revision changed, for daemons that already hold the previous document.
/// @param from digest of the previous document
/// @param to digest of the new document
std::string changeObjectName(const std::string &from, const std::string &to);

/// @brief Encodes several objects as one.
std::string encodeObjects(const std::vector<ContentObject> &objects);

/// @brief Decodes the output of encodeObjects(). Objects whose content does not match their digest are left out.
std::vector<ContentObject> decodeObjects(std::string_view bytes);

/// @brief Encodes the row's value.
std::string encodePointer(const Pointer &pointer);

/// @brief Decodes the row's value.
/// @return `std::nullopt` if it is malformed
std::optional<Pointer> decodePointer(std::string_view text);

} // namespace turmericplank::configuration
