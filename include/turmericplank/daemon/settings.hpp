#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::daemon {

/// @brief What a daemon is told at its start; everything else comes from the accepted configuration.
struct Settings
{
    base::DaemonId id;
    base::CellName cell{"cell-1"};
    base::ZoneName zone;
    base::Address callerListen; ///< callers' requests
    base::Address peerListen; ///< other daemons
    base::Address operatorListen; ///< operators' commands, /healthz and /metrics
    std::vector<base::Address> platform; ///< platform service, first one first
    telemetry::LogLevel logLevel = telemetry::LogLevel::Info;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/// @brief One mistake in a settings file.
struct SettingsMistake
{
    std::string key;
    int line = 0; ///< zero where no line can be named
    std::string expected;

    friend bool operator==(const SettingsMistake &, const SettingsMistake &) = default;
};

/// @brief Reads settings in TOML; the command line's values go first.
/// @param text the file's text, empty for none
/// @param overrides key=value pairs of the command line
/// @return the settings, or every mistake that was found
tl::expected<Settings, std::vector<SettingsMistake>> readSettings(const std::string &text, const std::vector<std::pair<std::string, std::string>> &overrides);

} // namespace turmericplank::daemon
