#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace turmericplank::telemetry {

/// @brief Level of a log line, lowest first.
enum class LogLevel { Debug, Info, Warning, Error };

/// @brief One key=value of a log line; text with blanks is quoted.
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

/// @brief Sets up logging to standard output.
/// @param level lowest level that is written
void startLogging(LogLevel level);

/// @brief Changes the level of a running process.
/// @param level lowest level that is written
void setLogLevel(LogLevel level);

/// @brief Reads a level's word: debug, info, warning or error.
/// @param text the word
/// @param level receives the level
/// @return whether the word is one of them
bool parseLogLevel(std::string_view text, LogLevel &level);

/// @brief Makes the text of a line: slice, colon, short sentence, fields.
/// @param slice fixed prefix, for example routing
/// @param sentence short sentence without a full stop
/// @param fields key=value pairs
std::string formatLogLine(std::string_view slice, std::string_view sentence, std::initializer_list<LogField> fields);

/// @brief Writes a line.
/// @param level level of the line
/// @param slice fixed prefix
/// @param sentence short sentence without a full stop
/// @param fields key=value pairs
void log(LogLevel level, std::string_view slice, std::string_view sentence, std::initializer_list<LogField> fields = {});

} // namespace turmericplank::telemetry
