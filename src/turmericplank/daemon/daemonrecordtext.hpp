#pragma once

#include <optional>
#include <string>

#include "turmericplank/membership/daemonview.hpp"

namespace turmericplank::daemon {

/// @brief Writes the value of a daemon's row in the table.
std::string daemonRecordText(const membership::DaemonRecord &record);

/// @brief Reads the value of a daemon's row.
/// @return nothing if a field is missing or is no address
std::optional<membership::DaemonRecord> parseDaemonRecord(const std::string &text);

} // namespace turmericplank::daemon
