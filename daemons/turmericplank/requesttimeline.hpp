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
    std::string source; ///< daemon or file that it comes from
    std::int64_t at = 0; ///< milliseconds; comparable between lines of one time zone only
    std::string slice; ///< part of the daemon that wrote it
    std::string sentence; ///< fixed text in front of the fields
    std::map<std::string, std::string> fields;
    std::string text; ///< slice, sentence and fields as they were written

    friend bool operator==(const LogLine &, const LogLine &) = default;
};

/// @brief Reads one line.
/// @param source daemon or file; a name in front of the line's date goes before it
/// @param line as the daemon wrote it
/// @return nothing if it is no structured line
std::optional<LogLine> parseLogLine(const std::string &source, const std::string &line);

/// @brief What a decision rested on, or what followed it.
struct StoryEntry
{
    LogLine line;
    std::int64_t ageMilliseconds = 0; ///< of a belief when the request began; negative for what came later
    bool isContext = false; ///< not a line of the request itself

    friend bool operator==(const StoryEntry &, const StoryEntry &) = default;
};

/// @brief The story of one request across daemons.
struct Story
{
    std::vector<StoryEntry> entries; ///< in the order of time
    std::vector<std::string> missing; ///< what a reader would want to know and the logs do not say

    friend bool operator==(const Story &, const Story &) = default;
};

/// @brief Tells the story of one request: its own lines, and the last word before it on all that its decisions rested on.
///
/// Beliefs are the configuration in force, the state of the store, the holder of the placement lease, the demand, the orders
/// for the request's model, and the endpoints that it was sent to.
/// @param lines of any daemons, in any order
/// @param request id of the request
Story storyOf(std::vector<LogLine> lines, const std::string &request);

} // namespace turmericplank::cli
