#include "turmericplank/requests/bookingrow.hpp"

#include <array>
#include <optional>

#include <nlohmann/json.hpp>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::requests {

namespace {

using nlohmann::json;

constexpr int RowFormat = 1;
constexpr std::array StateNames = {"claimed", "sent", "done", "not_run", "unknown"};
constexpr std::string_view HexDigits = "0123456789abcdef";

std::optional<BookingState> parseState(const std::string &name)
{
    for (std::size_t n = 0; n < StateNames.size(); ++n) {
        if (name == StateNames[n]) {
            return static_cast<BookingState>(n);
        }
    }
    return std::nullopt;
}

std::string toHex(std::string_view bytes)
{
    std::string text;
    for (const auto it : bytes) {
        const auto value = static_cast<unsigned char>(it);
        text += HexDigits[value >> 4U];
        text += HexDigits[value & 15U];
    }
    return text;
}

std::optional<std::string> fromHex(std::string_view text)
{
    std::string bytes;
    for (std::size_t n = 0; n + 1 < text.size(); n += 2) {
        const auto high = HexDigits.find(text[n]);
        const auto low = HexDigits.find(text[n + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        bytes += static_cast<char>(high * HexDigits.size() + low);
    }
    return text.size() % 2 == 0 ? std::optional(bytes) : std::nullopt;
}

bool isUtf8(const std::string &text)
{
    try {
        const auto written = json(text).dump();
        return !written.empty();
    } catch (const json::exception &) {
        return false;
    }
}

json toJson(const StoredAnswer &answer)
{
    json document = {{"status", answer.status}, {"type", toHex(answer.contentType)}};
    if (isUtf8(answer.body)) {
        document["body"] = answer.body;
    } else {
        document["hex"] = toHex(answer.body);
    }
    return document;
}

std::optional<StoredAnswer> answerFromJson(const json &document)
{
    StoredAnswer answer;
    answer.status = document.at("status").get<int>();
    const auto type = fromHex(document.at("type").get<std::string>());
    const auto body = document.contains("body") ? document.at("body").get<std::string>() : fromHex(document.at("hex").get<std::string>());
    if (!type || !body) {
        return std::nullopt;
    }
    answer.contentType = *type;
    answer.body = *body;
    return answer;
}

} // namespace

std::string encode(const StoredAnswer &answer)
{
    return toJson(answer).dump();
}

tl::expected<StoredAnswer, DecodeFailure> decodeAnswer(std::string_view text)
{
    try {
        const auto answer = answerFromJson(json::parse(text));
        return answer ? tl::expected<StoredAnswer, DecodeFailure>(*answer) : tl::make_unexpected(DecodeFailure::Malformed);
    } catch (const json::exception &) {
        return tl::make_unexpected(DecodeFailure::Malformed);
    }
}

std::string encode(const BookingRow &row)
{
    json document = {{"format", RowFormat},      {"state", StateNames[static_cast<std::size_t>(row.state)]}, {"owner", row.owner.text()}, {"token", row.token},
                     {"digest", row.bodyDigest}, {"written_at", base::toMilliseconds(row.writtenAt)}};
    if (row.state == BookingState::Done) {
        document["answer"] = toJson(row.answer);
    }
    return document.dump();
}

tl::expected<BookingRow, DecodeFailure> decodeBookingRow(std::string_view text)
{
    try {
        const auto document = json::parse(text);
        if (document.at("format").get<int>() != RowFormat) {
            return tl::make_unexpected(DecodeFailure::UnknownVersion);
        }
        const auto state = parseState(document.at("state").get<std::string>());
        if (!state) {
            return tl::make_unexpected(DecodeFailure::Malformed);
        }
        BookingRow row;
        row.state = *state;
        row.owner = base::DaemonId(document.at("owner").get<std::string>());
        row.token = document.at("token").get<std::string>();
        row.bodyDigest = document.at("digest").get<std::string>();
        constexpr std::int64_t MaxMilliseconds = 9'000'000'000'000;
        const auto writtenAt = document.at("written_at").get<std::int64_t>();
        if (writtenAt < 0 || writtenAt > MaxMilliseconds) {
            return tl::make_unexpected(DecodeFailure::Malformed);
        }
        row.writtenAt = base::timeFromMilliseconds(writtenAt);
        if (row.state == BookingState::Done) {
            const auto answer = answerFromJson(document.at("answer"));
            if (!answer) {
                return tl::make_unexpected(DecodeFailure::Malformed);
            }
            row.answer = *answer;
        }
        return row;
    } catch (const json::exception &) {
        return tl::make_unexpected(DecodeFailure::Malformed);
    }
}

std::string bookingRowKey(const base::ServiceName &service, const base::CallerName &caller, const base::IdempotencyKey &key)
{
    const auto parts = json::array({toHex(service.text()), toHex(caller.text()), toHex(key.text())});
    return "bookings/" + base::digest(parts.dump());
}

} // namespace turmericplank::requests
