#pragma once

#include <optional>
#include <string_view>

namespace turmericplank::base {

/// @brief Priority class of a request; a lower value is served first.
enum class Priority {
    Urgent = 0, ///< a person is waiting on site
    Normal = 1,
    Bulk = 2, ///< batch work with a distant deadline, such as summaries
};

/// @brief The priority as it is written in headers and documents.
constexpr std::string_view toString(Priority priority)
{
    switch (priority) {
    case Priority::Urgent:
        return "urgent";
    case Priority::Normal:
        return "normal";
    case Priority::Bulk:
        return "bulk";
    }
    return "normal";
}

/// @brief Parses a priority.
/// @param text urgent, normal or bulk
/// @return `std::nullopt` for any other text
constexpr std::optional<Priority> parsePriority(std::string_view text)
{
    for (const auto it : {Priority::Urgent, Priority::Normal, Priority::Bulk}) {
        if (text == toString(it)) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace turmericplank::base
