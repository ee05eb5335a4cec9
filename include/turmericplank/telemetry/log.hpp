#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace turmericplank::telemetry {

/// @brief Level of a log line, lowest first.
enum class LogLevel { Debug, Info, Warning, Error };

/// @brief One key=value pair of a log line; an empty value and one with spaces or special characters are quoted.
struct LogField
{
    LogField(std::string_view fieldKey, std::string_view fieldValue);
    LogField(std::string_view fieldKey, const char *fieldValue);
    LogField(std::string_view fieldKey, std::int64_t fieldValue);
    LogField(std::string_view fieldKey, std::uint64_t fieldValue);
    LogField(std::string_view fieldKey, int fieldValue);
    LogField(std::string_view fieldKey, double fieldValue);

    std::string key;
    std::string value;
};

/// @brief Starts logging to standard output.
/// @param level minimum level that is written
void startLogging(LogLevel level);

/// @brief Changes the log level at run time.
/// @param level minimum level that is written
void setLogLevel(LogLevel level);

/// @brief Parses a log level.
/// @param text debug, info, warning or error
/// @param level receives the level; unchanged if the text is not a level
/// @return whether the text is a level
bool parseLogLevel(std::string_view text, LogLevel &level);

/// @brief Formats a log line: component, colon, message, fields.
/// @param component prefix of the line, for example routing
/// @param message short sentence without a full stop
/// @param fields key=value pairs
std::string formatLogLine(std::string_view component, std::string_view message, std::initializer_list<LogField> fields);

/// @brief Writes a log line if its level is enabled.
/// @param component prefix of the line
/// @param message short sentence without a full stop
/// @param fields key=value pairs
void log(LogLevel level, std::string_view component, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace turmericplank::telemetry
