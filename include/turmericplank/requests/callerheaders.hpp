#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include <tl/expected.hpp>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/priority.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::requests {

/// @brief Why a request header is invalid.
enum class HeaderFailure { BadPriority, BadDeadline, BadCaller, BadIdempotencyKey };

/// @brief Describes the valid values of the header, for the error message.
std::string_view requirementFor(HeaderFailure failure);

/// @brief Values of the request headers that callers may set.
struct CallerHeaders
{
    base::Priority priority = base::Priority::Normal;
    std::optional<base::Time> deadline;
    base::CallerName caller{"anonymous"};
    base::IdempotencyKey idempotencyKey; ///< empty if absent

    friend bool operator==(const CallerHeaders &, const CallerHeaders &) = default;
};

/// @brief Reads X-Priority, X-Deadline, X-Caller and Idempotency-Key.
/// @param header returns the value of a header, empty if it is absent
/// @return the values, or the failure of the first invalid header
tl::expected<CallerHeaders, HeaderFailure> readCallerHeaders(const std::function<std::string_view(std::string_view name)> &header);

/// @brief Deadline of a call without X-Deadline.
/// @param priority class of the call
/// @param now current time
base::Time defaultDeadline(base::Priority priority, base::Time now);

} // namespace turmericplank::requests
