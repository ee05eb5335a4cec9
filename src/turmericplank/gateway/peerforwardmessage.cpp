#include "turmericplank/gateway/peerforwardmessage.hpp"

#include <algorithm>
#include <limits>

#include "msgpackarrays.hpp"
#include "turmericplank/net/clientconnection.hpp"

namespace turmericplank::gateway {

namespace {

constexpr char HeadType = 'H';
constexpr char BodyType = 'B';
constexpr char EndType = 'E';
constexpr std::size_t FramePrefixBytes = 5; ///< the type and the size of the payload, most significant byte first
constexpr int FirstFinalStatus = 200; ///< responses with a lower status are not relayed
constexpr int LastStatus = 999; ///< of three digits
constexpr std::size_t MaxPayloadBytes = net::MaxStreamBytes; ///< more than any response that a daemon takes from an endpoint

std::string frame(char type, std::string_view payload)
{
    std::string text(1, type);
    for (int shift = 24; shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>(static_cast<std::uint8_t>(payload.size() >> static_cast<unsigned>(shift))));
    }
    return text.append(payload);
}

std::size_t payloadSize(std::string_view prefix)
{
    std::size_t size = 0;
    for (const auto it : prefix.substr(1, FramePrefixBytes - 1)) {
        size = (size << 8U) | static_cast<std::uint8_t>(it);
    }
    return size;
}

void writeHeaders(Packer &packer, const net::Headers &headers)
{
    packArraySize(packer, headers.size());
    for (const auto &it : headers) {
        packArraySize(packer, 2);
        packer.pack(it.name);
        packer.pack(it.value);
    }
}

net::Headers readHeaders(const msgpack::object &object)
{
    net::Headers headers;
    for (const auto &it : members(object, 0)) {
        const auto field = members(it, 2);
        headers.push_back({field[0].as<std::string>(), field[1].as<std::string>()});
    }
    return headers;
}

} // namespace

std::string encode(const PeerForwardRequest &request, base::Time now)
{
    constexpr std::int64_t Max = std::numeric_limits<std::uint32_t>::max();
    msgpack::sbuffer buf;
    Packer packer(buf);
    packArraySize(packer, 7);
    packer.pack(request.request.method);
    packer.pack(request.request.target);
    writeHeaders(packer, request.request.headers);
    packer.pack(request.request.body);
    packer.pack(request.revision.value());
    packer.pack(static_cast<std::uint32_t>(std::clamp<std::int64_t>(base::millisecondsBetween(now, request.deadline), 0, Max)));
    packer.pack(request.maxSends);
    return {buf.data(), buf.size()};
}

tl::expected<PeerForwardRequest, MessageDecodeFailure> decodePeerForwardRequest(std::string_view bytes, base::Time now)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        const auto parts = members(handle.get(), 7);
        PeerForwardRequest it;
        it.request = {parts[0].as<std::string>(), parts[1].as<std::string>(), readHeaders(parts[2]), parts[3].as<std::string>()};
        it.revision = base::Revision(parts[4].as<std::uint64_t>());
        it.deadline = now + std::chrono::milliseconds(parts[5].as<std::uint32_t>());
        it.maxSends = parts[6].as<std::uint32_t>();
        return it;
    } catch (const std::exception &) {
        // The library reports truncated or malformed input by exceptions only.
        return tl::unexpected(MessageDecodeFailure::Malformed);
    }
}

std::string headFrame(const PeerForwardHead &head)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packArraySize(packer, 3);
    packer.pack(head.status);
    packer.pack(head.isStream);
    writeHeaders(packer, head.headers);
    return frame(HeadType, {buf.data(), buf.size()});
}

std::string bodyFrame(std::string_view body)
{
    return frame(BodyType, body);
}

std::string endFrame()
{
    return frame(EndType, {});
}

tl::expected<void, MessageDecodeFailure> PeerForwardReader::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::size_t done = 0;
    while (m_buffer.size() - done >= FramePrefixBytes) {
        const auto rest = std::string_view(m_buffer).substr(done);
        const auto size = payloadSize(rest);
        if (size > MaxPayloadBytes) {
            return tl::unexpected(MessageDecodeFailure::Malformed);
        }
        if (rest.size() - FramePrefixBytes < size) {
            break;
        }
        // The callbacks may end the call, but not this reader.
        if (!readFrame(rest.front(), rest.substr(FramePrefixBytes, size))) {
            return tl::unexpected(MessageDecodeFailure::Malformed);
        }
        done += FramePrefixBytes + size;
    }
    m_buffer.erase(0, done);
    return {};
}

bool PeerForwardReader::readFrame(char type, std::string_view payload)
{
    if (m_isComplete || m_hasHead == (type == HeadType)) {
        return false;
    }
    switch (type) {
    case HeadType:
        try {
            const auto handle = msgpack::unpack(payload.data(), payload.size());
            const auto parts = members(handle.get(), 3);
            PeerForwardHead head{parts[0].as<int>(), readHeaders(parts[2]), parts[1].as<bool>()};
            if (head.status < FirstFinalStatus || head.status > LastStatus) {
                return false;
            }
            m_hasHead = true;
            onHead(std::move(head));
            return true;
        } catch (const std::exception &) {
            return false;
        }
    case BodyType:
        onBody(std::string(payload));
        return true;
    case EndType:
        m_isComplete = true;
        return true;
    default:
        return false;
    }
}

bool PeerForwardReader::isComplete() const
{
    return m_isComplete;
}

} // namespace turmericplank::gateway
