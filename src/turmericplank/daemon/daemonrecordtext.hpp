#pragma once

#include <optional>
#include <string>

#include "turmericplank/membership/daemonview.hpp"

namespace turmericplank::daemon {

/// @brief Formats the value of a daemon's row in the table as JSON.
std::string daemonRecordText(const membership::DaemonRecord &record);

/// @brief Parses the value of a daemon's row.
/// @return nothing if the id is missing or an address is missing or invalid
std::optional<membership::DaemonRecord> parseDaemonRecord(const std::string &text);

} // namespace turmericplank::daemon
