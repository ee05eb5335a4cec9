#include "configurationmessages.hpp"

#include <tuple>

#include <msgpack.hpp>

namespace turmericplank::daemon {

namespace {

constexpr std::uint32_t NoticeVersion = 1;
constexpr std::size_t NoticeFields = 7;

template<typename Value>
std::string packed(const Value &value)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, value);
    return {buf.data(), buf.size()};
}

} // namespace

std::string encodeNotice(const NoticeMessage &message)
{
    const auto &notice = message.notice;
    return packed(std::make_tuple(NoticeVersion, notice.highest.value(), base::toMilliseconds(notice.inForceFrom), notice.ready.value(), notice.inForce.value(),
                                  base::toMilliseconds(notice.confirmedAt), toString(message.sender)));
}

std::optional<NoticeMessage> decodeNotice(std::string_view bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        const auto fields = handle.get().as<std::vector<msgpack::object>>();
        if (fields.size() < NoticeFields) {
            return std::nullopt;
        }
        NoticeMessage message;
        auto &notice = message.notice;
        notice.highest = base::Revision(fields[1].as<std::uint64_t>());
        notice.inForceFrom = base::timeFromMilliseconds(fields[2].as<std::int64_t>());
        notice.ready = base::Revision(fields[3].as<std::uint64_t>());
        notice.inForce = base::Revision(fields[4].as<std::uint64_t>());
        notice.confirmedAt = base::timeFromMilliseconds(fields[5].as<std::int64_t>());
        const auto sender = base::parseAddress(fields[6].as<std::string>());
        if (!sender) {
            return std::nullopt;
        }
        message.sender = *sender;
        return message;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string encodeNames(const std::vector<std::string> &names)
{
    return packed(names);
}

std::optional<std::vector<std::string>> decodeNames(std::string_view bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<std::vector<std::string>>();
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace turmericplank::daemon
