#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::requests {

/// @brief How far an unrepeatable call has come.
enum class BookingState {
    Claimed, ///< reserved; another submission may take it over
    Sent, ///< its owner alone may send it, once
    Done, ///< answered
    NotRun, ///< was not run; another submission may take it over
    Unknown, ///< was sent, and its answer was lost
};

/// @brief A whole answer as it is kept and handed out again.
struct StoredAnswer
{
    int status = 200;
    std::string contentType;
    std::string body;

    friend auto operator<=>(const StoredAnswer &, const StoredAnswer &) = default;
    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

/// @brief Row of one unrepeatable call in the platform's table.
struct BookingRow
{
    BookingState state = BookingState::Claimed;
    base::DaemonId owner;
    std::string token; ///< random; tells apart two claims, also of one daemon
    std::string bodyDigest; ///< of the method, the path and the body
    StoredAnswer answer; ///< of a call that is done
    base::Time writtenAt;

    friend auto operator<=>(const BookingRow &, const BookingRow &) = default;
    friend bool operator==(const BookingRow &, const BookingRow &) = default;
};

/// @brief Why stored bytes cannot be used.
enum class DecodeFailure { Malformed, UnknownVersion };

/// @brief Writes an answer as text that the table can hold.
std::string encode(const StoredAnswer &answer);
/// @brief Reads what encode() wrote.
tl::expected<StoredAnswer, DecodeFailure> decodeAnswer(std::string_view text);

/// @brief Writes a row's value.
std::string encode(const BookingRow &row);
/// @brief Reads a row's value.
tl::expected<BookingRow, DecodeFailure> decodeBookingRow(std::string_view text);

/// @brief Key of the row of an unrepeatable call.
/// @param service the called service
/// @param caller who calls
/// @param key the caller's own key
std::string bookingRowKey(const base::ServiceName &service, const base::CallerName &caller, const base::IdempotencyKey &key);

} // namespace turmericplank::requests
