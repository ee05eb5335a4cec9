#pragma once

#include <optional>
#include <string_view>

namespace turmericplank::base {

/// @brief Class of a request; a lower value is served first.
enum class Priority {
    Urgent = 0, ///< somebody waits on site
    Normal = 1,
    Bulk = 2, ///< summaries that are due by a far deadline
};

/// @brief The word that stands in headers and documents.
/// @param priority the class
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

/// @brief Reads the word of a class.
/// @param text urgent, normal or bulk
/// @return nothing for any other word
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
