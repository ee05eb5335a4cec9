#pragma once

#include <chrono>
#include <cstdint>

namespace turmericplank::base {

/// @brief Duration in microseconds; used for arithmetic and options, never stored as state.
using Duration = std::chrono::microseconds;

/// @brief Point in time in microseconds since the Unix epoch.
///
/// Decision code takes the current time as an argument. Its callers get it from now(), which is monotonic and anchored
/// once to the wall clock, so that time never runs backwards within a process.
using Time = std::chrono::sys_time<Duration>;

/// @brief Converts milliseconds since the Unix epoch to a point in time.
constexpr Time timeFromMilliseconds(std::int64_t milliseconds)
{
    return Time(std::chrono::milliseconds(milliseconds));
}

/// @brief Whole milliseconds since the Unix epoch, the unit of all times on the wire.
constexpr std::int64_t toMilliseconds(Time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/// @brief Whole milliseconds from one point in time to another, as used for ages in logs.
constexpr std::int64_t millisecondsBetween(Time from, Time to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

/// @brief Converts a duration to fractional milliseconds, for reports.
constexpr double inMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

/// @brief Current time of the process's own clock: monotonic, anchored to the wall clock at first use.
Time now();

} // namespace turmericplank::base
