#include "turmericplank/requests/messages.hpp"

#include <msgpack.hpp>

namespace turmericplank::requests {

namespace {

constexpr std::uint32_t Version = 2; ///< 2: losses name the incarnation
constexpr std::size_t HeadFields = 3;
constexpr std::size_t DepthLimit = 8;

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Starts a message: an array whose first fields are the version and the head.
void packHead(Packer &packer, const MessageHeader &head, std::uint32_t fields)
{
    packer.pack_array(static_cast<std::uint32_t>(HeadFields) + fields);
    packer.pack(Version);
    packer.pack(head.from.text());
    packer.pack(head.revision.value());
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

std::string bytesOf(const msgpack::sbuffer &buf)
{
    return {buf.data(), buf.size()};
}

/// Reads the fields of an array one after the other; throws msgpack::type_error where one is missing or of another type.
class Fields
{
public:
    explicit Fields(const msgpack::object &array)
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
        constexpr std::int64_t LatestMilliseconds = 9'000'000'000'000;
        const auto milliseconds = next<std::int64_t>();
        if (milliseconds < 0 || milliseconds > LatestMilliseconds) {
            throw msgpack::type_error();
        }
        return base::timeFromMilliseconds(milliseconds);
    }

    std::vector<EndpointLoss> losses()
    {
        std::vector<EndpointLoss> losses;
        for (Fields it(object()); it.m_next != it.m_end;) {
            Fields loss(it.object());
            base::EndpointId endpoint(loss.next<std::string>());
            losses.push_back(EndpointLoss{std::move(endpoint), base::Incarnation(loss.next<std::uint64_t>())});
        }
        return losses;
    }

    std::vector<SuspectNotification> verdicts()
    {
        std::vector<SuspectNotification> verdicts;
        for (Fields it(object()); it.m_next != it.m_end;) {
            Fields verdict(it.object());
            const Fingerprint fingerprint(verdict.next<std::uint64_t>());
            const auto isCleared = verdict.next<bool>();
            auto lost = verdict.losses();
            verdicts.push_back(SuspectNotification{fingerprint, isCleared, std::move(lost), verdict.next<std::uint64_t>()});
        }
        return verdicts;
    }

private:
    const msgpack::object *m_next = nullptr;
    const msgpack::object *m_end = nullptr;
};

void read(Fields &fields, QuestionMessage &message)
{
    message.question.fingerprint = Fingerprint(fields.next<std::uint64_t>());
    message.question.sequence = fields.next<std::uint64_t>();
    message.question.endpoint = base::EndpointId(fields.next<std::string>());
    message.question.lost = fields.losses();
}

void read(Fields &fields, ReplyMessage &message)
{
    message.reply.fingerprint = Fingerprint(fields.next<std::uint64_t>());
    message.reply.sequence = fields.next<std::uint64_t>();
    message.reply.mayRun = fields.next<bool>();
    message.reply.lost = fields.losses();
}

void read(Fields &fields, SuspectsMessage &message)
{
    message.suspects = fields.verdicts();
}

void read(Fields &fields, StopMessage &message)
{
    message.stopsAt = fields.time();
}

void read(Fields &fields, ForwardedRequest &message)
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

std::string encode(const QuestionMessage &message)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packHead(packer, message.head, 4);
    packer.pack(message.question.fingerprint.value());
    packer.pack(message.question.sequence);
    packer.pack(message.question.endpoint.text());
    packLosses(packer, message.question.lost);
    return bytesOf(buf);
}

std::string encode(const ReplyMessage &message)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packHead(packer, message.head, 4);
    packer.pack(message.reply.fingerprint.value());
    packer.pack(message.reply.sequence);
    packer.pack(message.reply.mayRun);
    packLosses(packer, message.reply.lost);
    return bytesOf(buf);
}

std::string encode(const SuspectsMessage &message)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packHead(packer, message.head, 1);
    packer.pack_array(static_cast<std::uint32_t>(message.suspects.size()));
    for (const auto &it : message.suspects) {
        packer.pack_array(4);
        packer.pack(it.fingerprint.value());
        packer.pack(it.isCleared);
        packLosses(packer, it.lost);
        packer.pack(it.endedTrial);
    }
    return bytesOf(buf);
}

std::string encode(const StopMessage &message)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packHead(packer, message.head, 1);
    packer.pack(base::toMilliseconds(message.stopsAt));
    return bytesOf(buf);
}

std::string encode(const ForwardedRequest &message)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packHead(packer, message.head, 7);
    packer.pack(message.method);
    packer.pack(message.target);
    packer.pack(message.priority);
    packer.pack(message.caller);
    packer.pack(message.idempotencyKey);
    packer.pack(base::toMilliseconds(message.deadline));
    packer.pack(message.body);
    return bytesOf(buf);
}

template<typename Message>
tl::expected<Message, DecodeFailure> decodeMessage(std::string_view bytes)
{
    try {
        // Every element takes a byte at least; a length beyond that is a lie that would be allocated for.
        const msgpack::unpack_limit limit(bytes.size(), 0, bytes.size(), 0, 0, DepthLimit);
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        Fields fields(handle.get());
        if (fields.next<std::uint32_t>() < Version) {
            return tl::make_unexpected(DecodeFailure::UnknownVersion);
        }
        Message message;
        message.head.from = base::DaemonId(fields.next<std::string>());
        message.head.revision = base::Revision(fields.next<std::uint64_t>());
        read(fields, message);
        return message;
    } catch (const std::exception &) {
        return tl::make_unexpected(DecodeFailure::Malformed);
    }
}

template tl::expected<QuestionMessage, DecodeFailure> decodeMessage(std::string_view);
template tl::expected<ReplyMessage, DecodeFailure> decodeMessage(std::string_view);
template tl::expected<SuspectsMessage, DecodeFailure> decodeMessage(std::string_view);
template tl::expected<StopMessage, DecodeFailure> decodeMessage(std::string_view);
template tl::expected<ForwardedRequest, DecodeFailure> decodeMessage(std::string_view);

} // namespace turmericplank::requests
