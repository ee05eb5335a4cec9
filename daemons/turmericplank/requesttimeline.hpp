#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericplank::cli {

/// @brief One line of a daemon's structured log.
struct LogLine
{
    std::string source; ///< daemon or file that the line comes from
    std::int64_t at = 0; ///< milliseconds in the log's local time; comparable only between lines of one time zone
    std::string slice; ///< part of the daemon that wrote the line
    std::string message; ///< constant text before the fields
    std::map<std::string, std::string> fields;
    std::string text; ///< slice, message and fields as written

    friend bool operator==(const LogLine &, const LogLine &) = default;
};

/// @brief Parses one line.
/// @param source daemon or file that the line comes from; a name before the line's date takes precedence
/// @param line the line as written
/// @return nothing if it is not a structured line
std::optional<LogLine> parseLogLine(const std::string &source, const std::string &line);

/// @brief One line of a timeline.
struct TimelineEntry
{
    LogLine line;
    std::int64_t ageMilliseconds = 0; ///< age of the line when the request started; negative for later lines
    bool isContext = false; ///< whether the line describes the circumstances rather than the request itself

    friend bool operator==(const TimelineEntry &, const TimelineEntry &) = default;
};

/// @brief Log lines about one request from all daemons.
struct RequestTimeline
{
    std::vector<TimelineEntry> entries; ///< sorted by time
    std::vector<std::string> missing; ///< relevant information that the logs do not contain

    friend bool operator==(const RequestTimeline &, const RequestTimeline &) = default;
};

/// @brief Builds the timeline of one request: its own lines, and the state that its decisions were based on.
///
/// The state consists of lines about the configuration in force, the store, the holder of the placement lease, the demand, the
/// peers and the daemons themselves: the last one of each kind before the request and all during it. Events of the endpoints used
/// and orders for the request's model are added if they are close in time. The messages are those that the gateway logs.
/// @param lines lines of any daemons, in any order
/// @param request id of the request
RequestTimeline buildTimeline(std::vector<LogLine> lines, const std::string &request);

} // namespace turmericplank::cli
