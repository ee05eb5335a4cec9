#include "turmericplank/requests/callerheaders.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace turmericplank::requests {

namespace {

constexpr std::size_t MaxCallerBytes = 64;
constexpr std::size_t MaxKeyBytes = 255;
constexpr std::int64_t MaxMilliseconds = 9'000'000'000'000;

bool isPrintable(std::string_view text, std::size_t maxBytes)
{
    const auto isPrintableCharacter = [](char it) {
        return it > ' ' && it <= '~';
    };
    return text.size() <= maxBytes && std::all_of(text.begin(), text.end(), isPrintableCharacter);
}

std::optional<base::Time> parseTime(std::string_view text)
{
    std::int64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto [position, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc() || position != end || value < 0 || value > MaxMilliseconds) {
        return std::nullopt;
    }
    return base::timeFromMilliseconds(value);
}

} // namespace

std::string_view requirementFor(HeaderFailure failure)
{
    switch (failure) {
    case HeaderFailure::BadPriority:
        return "X-Priority must be urgent, normal or bulk";
    case HeaderFailure::BadDeadline:
        return "X-Deadline must be a time in milliseconds since the epoch";
    case HeaderFailure::BadCaller:
        return "X-Caller must have at most 64 printable characters without spaces";
    case HeaderFailure::BadIdempotencyKey:
        return "Idempotency-Key must have at most 255 printable characters without spaces";
    }
    return {};
}

tl::expected<CallerHeaders, HeaderFailure> readCallerHeaders(const std::function<std::string_view(std::string_view)> &header)
{
    CallerHeaders headers;
    if (const auto text = header("X-Priority"); !text.empty()) {
        const auto priority = base::parsePriority(text);
        if (!priority) {
            return tl::make_unexpected(HeaderFailure::BadPriority);
        }
        headers.priority = *priority;
    }
    if (const auto text = header("X-Deadline"); !text.empty()) {
        headers.deadline = parseTime(text);
        if (!headers.deadline) {
            return tl::make_unexpected(HeaderFailure::BadDeadline);
        }
    }
    if (const auto text = header("X-Caller"); !text.empty()) {
        if (!isPrintable(text, MaxCallerBytes)) {
            return tl::make_unexpected(HeaderFailure::BadCaller);
        }
        headers.caller = base::CallerName(std::string(text));
    }
    const auto key = header("Idempotency-Key");
    if (!isPrintable(key, MaxKeyBytes)) {
        return tl::make_unexpected(HeaderFailure::BadIdempotencyKey);
    }
    headers.idempotencyKey = base::IdempotencyKey(std::string(key));
    return headers;
}

base::Time defaultDeadline(base::Priority priority, base::Time now)
{
    switch (priority) {
    case base::Priority::Urgent:
        return now + std::chrono::seconds(30);
    case base::Priority::Normal:
        return now + std::chrono::minutes(2);
    case base::Priority::Bulk:
        return now + std::chrono::hours(1);
    }
    return now;
}

} // namespace turmericplank::requests
