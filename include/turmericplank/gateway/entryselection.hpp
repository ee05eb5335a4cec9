#pragma once

#include <vector>

#include "turmericplank/gateway/interface.hpp"

namespace turmericplank::gateway {

/// @brief A daemon that takes callers.
struct Entry
{
    base::Address callers;
    base::ZoneName zone;

    friend auto operator<=>(const Entry &, const Entry &) = default;
    friend bool operator==(const Entry &, const Entry &) = default;
};

/// @brief Chooses the entries that a caller is told.
///
/// Load pattern: callers pick one of the addresses at random for each connection, so what is told is how the load
/// spreads. Those of the caller's availability zone are told where there are enough of them to bear the loss of one.
/// @param question where the caller is
/// @param entries daemons that take callers now
/// @param least entries of one zone that suffice
std::vector<base::Address> chooseEntries(const EntryQuestion &question, const std::vector<Entry> &entries, std::size_t least);

} // namespace turmericplank::gateway
