#pragma once

#include <vector>

#include "turmericplank/gateway/interface.hpp"

namespace turmericplank::gateway {

/// @brief A daemon that accepts calls.
struct EntryDaemon
{
    base::Address callerAddress;
    base::ZoneName zone;

    friend auto operator<=>(const EntryDaemon &, const EntryDaemon &) = default;
    friend bool operator==(const EntryDaemon &, const EntryDaemon &) = default;
};

/// @brief Selects the addresses that the directory returns to a caller.
///
/// Callers pick one of the addresses at random for each connection, so the selection determines how load is distributed.
/// Only daemons in the caller's availability zone are returned if there are enough of them to tolerate the loss of one.
/// @param query the caller's location
/// @param entries daemons that accept calls now
/// @param minInZone how many daemons of the caller's zone are enough
/// @return the addresses in the caller's zone if they are enough, otherwise all
std::vector<base::Address> selectEntries(const DirectoryQuery &query, const std::vector<EntryDaemon> &entries, std::size_t minInZone);

} // namespace turmericplank::gateway
