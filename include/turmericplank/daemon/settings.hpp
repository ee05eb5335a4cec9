#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::daemon {

/// @brief Settings of a daemon at its start; everything else comes from the accepted configuration.
struct Settings
{
    base::DaemonId id;
    base::CellName cell{"cell-1"};
    base::ZoneName zone;
    base::Address callerListen; ///< for callers' requests
    base::Address peerListen; ///< for other daemons
    base::Address operatorListen; ///< for operators' commands, /healthz and /metrics
    std::vector<base::Address> platform; ///< addresses of the platform service, in the order in which they are tried
    telemetry::LogLevel logLevel = telemetry::LogLevel::Info;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/// @brief One error in the settings.
struct SettingsError
{
    std::string key;
    int line = 0; ///< zero if the error belongs to no line
    std::string expected;

    friend bool operator==(const SettingsError &, const SettingsError &) = default;
};

/// @brief Reads settings from TOML; values of the command line take precedence.
/// @param text content of the settings file, empty if there is none
/// @param overrides keys and values from the command line
/// @return the settings, or all errors that were found
tl::expected<Settings, std::vector<SettingsError>> readSettings(const std::string &text, const std::vector<std::pair<std::string, std::string>> &overrides);

} // namespace turmericplank::daemon
