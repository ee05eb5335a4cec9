#include "turmericplank/requests/messages.hpp"

#include <msgpack.hpp>

namespace turmericplank::requests {

namespace {

constexpr std::uint32_t Version = 2; ///< version 2 added the incarnation to losses
constexpr std::size_t HeaderFieldCount = 3;
constexpr std::size_t MaxDepth = 8;

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Starts a message: an array that begins with the version and the fields of the header.
void packHeader(Packer &packer, const MessageHeader &header, std::uint32_t fields)
{
    packer.pack_array(static_cast<std::uint32_t>(HeaderFieldCount) + fields);
    packer.pack(Version);
    packer.pack(header.from.text());
    packer.pack(header.revision.value());
}

void packLosses(Packer &packer, const std::vector<EndpointLoss> &losses)
{
    packer.pack_array(static_cast<std::uint32_t>(losses.size()));
    for (const auto &it : losses) {
        packer.pack_array(2);
        packer.pack(it.endpoint.text());
        packer.pack(it.incarnation.value());
    }
}

std::string toString(const msgpack::sbuffer &buf)
{
    return {buf.data(), buf.size()};
}

/// Reads the fields of an array in order; throws msgpack::type_error if a field is missing or has another type.
class FieldReader
{
public:
    explicit FieldReader(const msgpack::object &array)
    {
        if (array.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
        m_next = array.via.array.ptr;
        m_end = m_next + array.via.array.size;
    }

    const msgpack::object &object()
    {
        if (m_next == m_end) {
            throw msgpack::type_error();
        }
        return *m_next++;
    }

    template<typename Value>
    Value next()
    {
        return object().as<Value>();
    }

    base::Time time()
    {
        constexpr std::int64_t MaxMilliseconds = 9'000'000'000'000;
        const auto milliseconds = next<std::int64_t>();
        if (milliseconds < 0 || milliseconds > MaxMilliseconds) {
            throw msgpack::type_error();
        }
        return base::timeFromMilliseconds(milliseconds);
    }

    std::vector<EndpointLoss> losses()
    {
        std::vector<EndpointLoss> losses;
        for (FieldReader it(object()); it.m_next != it.m_end;) {
            FieldReader loss(it.object());
            base::EndpointId endpoint(loss.next<std::string>());
            losses.push_back(EndpointLoss{std::move(endpoint), base::Incarnation(loss.next<std::uint64_t>())});
        }
        return losses;
    }

    std::vector<SuspectNotification> notifications()
    {
        std::vector<SuspectNotification> notifications;
        for (FieldReader it(object()); it.m_next != it.m_end;) {
            FieldReader notification(it.object());
            const Fingerprint fingerprint(notification.next<std::uint64_t>());
            const auto isCleared = notification.next<bool>();
            auto losses = notification.losses();
            notifications.push_back(SuspectNotification{fingerprint, isCleared, std::move(losses), notification.next<std::uint64_t>()});
        }
        return notifications;
    }

private:
    const msgpack::object *m_next = nullptr;
    const msgpack::object *m_end = nullptr;
};

void read(FieldReader &fields, TrialQuestionMessage &message)
{
    message.question.fingerprint = Fingerprint(fields.next<std::uint64_t>());
    message.question.sequence = fields.next<std::uint64_t>();
    message.question.endpoint = base::EndpointId(fields.next<std::string>());
    message.question.losses = fields.losses();
}

void read(FieldReader &fields, TrialReplyMessage &message)
{
    message.reply.fingerprint = Fingerprint(fields.next<std::uint64_t>());
    message.reply.sequence = fields.next<std::uint64_t>();
    message.reply.mayRun = fields.next<bool>();
    message.reply.losses = fields.losses();
}

void read(FieldReader &fields, SuspectsMessage &message)
{
    message.suspects = fields.notifications();
}

void read(FieldReader &fields, StopMessage &message)
{
    message.stopsAt = fields.time();
}

void read(FieldReader &fields, ForwardedRequest &message)
{
    message.method = fields.next<std::string>();
    message.target = fields.next<std::string>();
    message.priority = fields.next<std::string>();
    message.caller = fields.next<std::string>();
    message.idempotencyKey = fields.next<std::string>();
    message.deadline = fields.time();
    message.body = fields.next<std::string>();
}

} // namespace

std::string encode(const TrialQuestionMessage &message)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packHeader(packer, message.header, 4);
    packer.pack(message.question.fingerprint.value());
    packer.pack(message.question.sequence);
    packer.pack(message.question.endpoint.text());
    packLosses(packer, message.question.losses);
    return toString(buf);
}

std::string encode(const TrialReplyMessage &message)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packHeader(packer, message.header, 4);
    packer.pack(message.reply.fingerprint.value());
    packer.pack(message.reply.sequence);
    packer.pack(message.reply.mayRun);
    packLosses(packer, message.reply.losses);
    return toString(buf);
}

std::string encode(const SuspectsMessage &message)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packHeader(packer, message.header, 1);
    packer.pack_array(static_cast<std::uint32_t>(message.suspects.size()));
    for (const auto &it : message.suspects) {
        packer.pack_array(4);
        packer.pack(it.fingerprint.value());
        packer.pack(it.isCleared);
        packLosses(packer, it.losses);
        packer.pack(it.endedTrial);
    }
    return toString(buf);
}

std::string encode(const StopMessage &message)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packHeader(packer, message.header, 1);
    packer.pack(base::toMilliseconds(message.stopsAt));
    return toString(buf);
}

std::string encode(const ForwardedRequest &message)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packHeader(packer, message.header, 7);
    packer.pack(message.method);
    packer.pack(message.target);
    packer.pack(message.priority);
    packer.pack(message.caller);
    packer.pack(message.idempotencyKey);
    packer.pack(base::toMilliseconds(message.deadline));
    packer.pack(message.body);
    return toString(buf);
}

template<typename Message>
tl::expected<Message, DecodeFailure> decodeMessage(std::string_view bytes)
{
    try {
        // Every element takes at least one byte. The limit rejects larger lengths before memory is allocated for them.
        const msgpack::unpack_limit limit(bytes.size(), 0, bytes.size(), 0, 0, MaxDepth);
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        FieldReader fields(handle.get());
        if (fields.next<std::uint32_t>() < Version) {
            return tl::make_unexpected(DecodeFailure::UnknownVersion);
        }
        Message message;
        message.header.from = base::DaemonId(fields.next<std::string>());
        message.header.revision = base::Revision(fields.next<std::uint64_t>());
        read(fields, message);
        return message;
    } catch (const std::exception &) {
        return tl::make_unexpected(DecodeFailure::Malformed);
    }
}

template tl::expected<TrialQuestionMessage, DecodeFailure> decodeMessage(std::string_view);
template tl::expected<TrialReplyMessage, DecodeFailure> decodeMessage(std::string_view);
template tl::expected<SuspectsMessage, DecodeFailure> decodeMessage(std::string_view);
template tl::expected<StopMessage, DecodeFailure> decodeMessage(std::string_view);
template tl::expected<ForwardedRequest, DecodeFailure> decodeMessage(std::string_view);

} // namespace turmericplank::requests
