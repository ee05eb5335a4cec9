#pragma once

#include <chrono>
#include <cstdint>

namespace turmericplank::base {

/// @brief Length of time in microseconds; used for arithmetic and options, never kept as state.
using Duration = std::chrono::microseconds;

/// @brief Point in time in microseconds since the Unix epoch.
///
/// Decisions receive the present as an argument. The shells derive it from the monotonic clock, anchored once to the
/// wall clock, so that it never runs backwards within a process.
using Time = std::chrono::sys_time<Duration>;

/// @brief Makes a point in time from milliseconds since the epoch.
/// @param milliseconds milliseconds since the Unix epoch
constexpr Time timeFromMilliseconds(std::int64_t milliseconds)
{
    return Time(std::chrono::milliseconds(milliseconds));
}

/// @brief Milliseconds since the epoch, the unit of every time on the wire.
/// @param time the point to convert
constexpr std::int64_t toMilliseconds(Time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/// @brief Whole milliseconds from one point to another, as logs tell ages.
constexpr std::int64_t millisecondsBetween(Time from, Time to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

/// @brief Fractional milliseconds of a length of time, for reports.
/// @param duration the length to convert
constexpr double inMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

/// @brief The process's own clock: monotonic, anchored to the wall clock at first use.
/// @return the present
Time now();

} // namespace turmericplank::base
