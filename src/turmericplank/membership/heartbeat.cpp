#include "turmericplank/membership/heartbeat.hpp"

#include <limits>

#include <msgpack.hpp>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::membership {

namespace {

constexpr std::uint32_t OldestVersion = 1;
constexpr std::uint32_t Version = 1;
constexpr std::uint32_t FieldCount = 15;
constexpr std::uint32_t TokenUnit = 16; ///< token counts are sent in this unit, rounded up, which takes fewer bytes

using Packer = msgpack::packer<msgpack::sbuffer>;

std::uint32_t tokenUnits(std::uint32_t tokens)
{
    return tokens / TokenUnit + (tokens % TokenUnit == 0 ? 0 : 1);
}

template<typename Item, typename PackItem>
void packList(Packer &packer, const std::vector<Item> &items, PackItem packItem)
{
    packer.pack_array(static_cast<std::uint32_t>(items.size()));
    for (const auto &it : items) {
        packItem(it);
    }
}

/// Reads the fields of an array in order; throws msgpack::type_error if a field is missing or has another type.
class Reader
{
public:
    explicit Reader(const msgpack::object &array)
    {
        if (array.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
        m_next = array.via.array.ptr;
        m_end = m_next + array.via.array.size;
    }

    template<typename Value>
    Value next()
    {
        return nextObject().as<Value>();
    }

    const msgpack::object &nextObject()
    {
        if (m_next == m_end) {
            throw msgpack::type_error();
        }
        return *m_next++;
    }

    bool hasMore() const
    {
        return m_next != m_end;
    }

    template<typename Item, typename ReadItem>
    std::vector<Item> list(ReadItem readItem)
    {
        Reader fields(nextObject());
        std::vector<Item> items;
        while (fields.hasMore()) {
            items.push_back(readItem(fields));
        }
        return items;
    }

private:
    const msgpack::object *m_next = nullptr;
    const msgpack::object *m_end = nullptr;
};

std::uint32_t readTokens(Reader &reader)
{
    const auto units = reader.next<std::uint32_t>();
    if (units > std::numeric_limits<std::uint32_t>::max() / TokenUnit) {
        throw msgpack::type_error();
    }
    return units * TokenUnit;
}

LoadDigest readReport(Reader &fields)
{
    LoadDigest it;
    it.endpoint = fields.next<ShortName>();
    it.ageMilliseconds = fields.next<std::uint32_t>();
    it.running = fields.next<std::uint32_t>();
    it.waiting = fields.next<std::uint32_t>();
    it.contentHash = fields.next<std::uint32_t>();
    return it;
}

Heartbeat readHeartbeat(Reader &reader)
{
    Heartbeat it;
    it.from = base::DaemonId(reader.next<std::string>());
    it.incarnation = base::Incarnation(reader.next<std::uint64_t>());
    it.sequence = reader.next<std::uint64_t>();
    it.isLeaving = reader.next<bool>();
    it.revision = base::Revision(reader.next<std::uint64_t>());
    it.load = reader.next<std::uint32_t>();
    it.heard = reader.list<HeardAge>([](Reader &fields) {
        const auto daemon = fields.next<ShortName>();
        return HeardAge{daemon, fields.next<std::uint32_t>()};
    });
    it.leaving = reader.list<LeavingMark>([](Reader &fields) {
        const auto subject = fields.next<ShortName>();
        return LeavingMark{subject, base::Incarnation(fields.next<std::uint64_t>())};
    });
    it.suspects = reader.list<EndpointOpinion>([](Reader &fields) { return EndpointOpinion{fields.next<ShortName>(), true}; });
    it.work = reader.list<EndpointWorkDigest>([](Reader &fields) {
        EndpointWorkDigest work;
        work.endpoint = fields.next<ShortName>();
        work.streams = fields.next<std::uint32_t>();
        work.urgentWaiting = fields.next<std::uint32_t>();
        work.otherWaiting = fields.next<std::uint32_t>();
        work.urgentTokens = readTokens(fields);
        work.otherTokens = readTokens(fields);
        return work;
    });
    it.shares = reader.list<ShareClaim>([](Reader &fields) {
        ShareClaim claim;
        claim.limit = fields.next<ShortName>();
        claim.reserved = fields.next<float>();
        claim.demand = fields.next<float>();
        return claim;
    });
    it.receiverSequence = reader.next<std::uint64_t>();
    it.receiverUseUntil = base::timeFromMilliseconds(reader.next<std::int64_t>());
    if (reader.hasMore()) {
        it.reports = reader.list<LoadDigest>(readReport);
    }
    return it;
}

} // namespace

ShortName shortName(std::string_view text)
{
    return static_cast<ShortName>(base::fingerprint(text));
}

std::string encode(const Heartbeat &heartbeat)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packer.pack_array(FieldCount);
    packer.pack(Version);
    packer.pack(heartbeat.from.text());
    packer.pack(heartbeat.incarnation.value());
    packer.pack(heartbeat.sequence);
    packer.pack(heartbeat.isLeaving);
    packer.pack(heartbeat.revision.value());
    packer.pack(heartbeat.load);
    // Each list is one flat array with the fields of all items, which saves the headers of inner arrays.
    packer.pack_array(static_cast<std::uint32_t>(2 * heartbeat.heard.size()));
    for (const auto &it : heartbeat.heard) {
        packer.pack(it.daemon);
        packer.pack(it.milliseconds);
    }
    packer.pack_array(static_cast<std::uint32_t>(2 * heartbeat.leaving.size()));
    for (const auto &it : heartbeat.leaving) {
        packer.pack(it.subject);
        packer.pack(it.incarnation.value());
    }
    packList(packer, heartbeat.suspects, [&](const EndpointOpinion &it) { packer.pack(it.endpoint); });
    packer.pack_array(static_cast<std::uint32_t>(6 * heartbeat.work.size()));
    for (const auto &it : heartbeat.work) {
        packer.pack(it.endpoint);
        packer.pack(it.streams);
        packer.pack(it.urgentWaiting);
        packer.pack(it.otherWaiting);
        packer.pack(tokenUnits(it.urgentTokens));
        packer.pack(tokenUnits(it.otherTokens));
    }
    packer.pack_array(static_cast<std::uint32_t>(3 * heartbeat.shares.size()));
    for (const auto &it : heartbeat.shares) {
        packer.pack(it.limit);
        packer.pack(static_cast<float>(it.reserved));
        packer.pack(static_cast<float>(it.demand));
    }
    packer.pack(heartbeat.receiverSequence);
    packer.pack(base::toMilliseconds(heartbeat.receiverUseUntil));
    packer.pack_array(static_cast<std::uint32_t>(5 * heartbeat.reports.size()));
    for (const auto &it : heartbeat.reports) {
        packer.pack(it.endpoint);
        packer.pack(it.ageMilliseconds);
        packer.pack(it.running);
        packer.pack(it.waiting);
        packer.pack(it.contentHash);
    }
    return {buf.data(), buf.size()};
}

tl::expected<Heartbeat, DecodeFailure> decodeHeartbeat(std::string_view bytes)
{
    // Rejects oversized or deeply nested input before memory is allocated for it.
    const msgpack::unpack_limit limits(4096, 0, 256, 0, 0, 8);
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits);
        Reader reader(handle.get());
        const auto version = reader.next<std::uint32_t>();
        if (version < OldestVersion) {
            return tl::unexpected(DecodeFailure::UnknownVersion);
        }
        return readHeartbeat(reader);
    } catch (const msgpack::unpack_error &) {
        return tl::unexpected(DecodeFailure::Malformed);
    } catch (const msgpack::type_error &) {
        return tl::unexpected(DecodeFailure::Malformed);
    }
}

} // namespace turmericplank::membership
