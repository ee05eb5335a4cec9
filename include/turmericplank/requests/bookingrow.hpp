#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::requests {

/// @brief State of an unrepeatable call.
enum class BookingState {
    Claimed, ///< reserved; another submission may take over
    Sent, ///< the owner, and no one else, may send it once
    Done, ///< answered
    NotRun, ///< was not run; another submission may take over
    Unknown, ///< was sent and may have run; the answer is lost
};

/// @brief A complete answer, as stored in the row and returned to duplicates.
struct StoredAnswer
{
    int status = 200;
    std::string contentType;
    std::string body;

    friend auto operator<=>(const StoredAnswer &, const StoredAnswer &) = default;
    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

/// @brief Row of an unrepeatable call in the platform's table.
struct BookingRow
{
    BookingState state = BookingState::Claimed;
    base::DaemonId owner;
    std::string token; ///< random; distinguishes claims, also those of one daemon
    std::string bodyDigest; ///< digest of the method, the path and the body
    StoredAnswer answer; ///< set if the call is done
    base::Time writtenAt;

    friend auto operator<=>(const BookingRow &, const BookingRow &) = default;
    friend bool operator==(const BookingRow &, const BookingRow &) = default;
};

/// @brief Why stored bytes cannot be decoded.
enum class DecodeFailure { Malformed, UnknownVersion };

/// @brief Encodes an answer as text that the table can store.
std::string encode(const StoredAnswer &answer);
/// @brief Decodes an answer from encode().
tl::expected<StoredAnswer, DecodeFailure> decodeAnswer(std::string_view text);

/// @brief Encodes the value of a row.
std::string encode(const BookingRow &row);
/// @brief Decodes the value of a row.
tl::expected<BookingRow, DecodeFailure> decodeBookingRow(std::string_view text);

/// @brief Row key of an unrepeatable call.
/// @param service the called service
/// @param caller name of the caller
/// @param key idempotency key from the caller
std::string bookingRowKey(const base::ServiceName &service, const base::CallerName &caller, const base::IdempotencyKey &key);

} // namespace turmericplank::requests
