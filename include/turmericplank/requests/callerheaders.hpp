#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include <tl/expected.hpp>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/priority.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::requests {

/// @brief Why a caller's header cannot be used.
enum class HeaderFailure { BadPriority, BadDeadline, BadCaller, BadIdempotencyKey };

/// @brief What the header must look like, for the error's message.
std::string_view requirementFor(HeaderFailure failure);

/// @brief What a caller says in headers of its own.
struct CallerHeaders
{
    base::Priority priority = base::Priority::Normal;
    std::optional<base::Time> deadline;
    base::CallerName caller{"anonymous"};
    base::IdempotencyKey idempotencyKey; ///< empty if there is none

    friend bool operator==(const CallerHeaders &, const CallerHeaders &) = default;
};

/// @brief Reads X-Priority, X-Deadline, X-Caller and Idempotency-Key.
/// @param header value of a header, empty if it is absent
/// @return the headers, or the first that cannot be used
tl::expected<CallerHeaders, HeaderFailure> readCallerHeaders(const std::function<std::string_view(std::string_view name)> &header);

/// @brief Deadline of a call whose caller gave none.
/// @param priority class of the call
/// @param now the present
base::Time defaultDeadline(base::Priority priority, base::Time now);

} // namespace turmericplank::requests
