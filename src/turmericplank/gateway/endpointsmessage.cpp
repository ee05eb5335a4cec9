#include "turmericplank/gateway/endpointsmessage.hpp"

#include <msgpack.hpp>

namespace turmericplank::gateway {

namespace {

using discovery::EndpointEntry;

/// Members of an entry in wire order; durations in microseconds, -1 if absent. The software version follows, which messages of
/// earlier builds lack.
using PackedEntry = std::tuple<std::string, std::string, std::string, std::uint16_t, std::string, std::uint32_t, bool, std::int64_t, std::uint64_t,
                               std::uint64_t, std::map<std::string, std::set<std::string>>, std::set<std::string>>;

PackedEntry packEntry(const EndpointEntry &it)
{
    std::map<std::string, std::set<std::string>> models;
    for (const auto &[model, adapters] : it.models) {
        models.emplace(model.text(), adapters);
    }
    std::set<std::string> atHand;
    for (const auto &model : it.atHand) {
        atHand.insert(model.text());
    }
    return {it.id.text(),           it.service.text(), it.address.host,   it.address.port,
            it.zone.text(),         it.slots,          it.isLeaving,      it.leavesWithin ? it.leavesWithin->count() : -1,
            it.incarnation.value(), it.heartbeat,      std::move(models), std::move(atHand)};
}

EndpointEntry unpackEntry(const PackedEntry &packed)
{
    const auto &[id, service, host, port, zone, slots, isLeaving, leavesWithin, incarnation, heartbeat, models, atHand] = packed;
    EndpointEntry it;
    it.id = base::EndpointId(id);
    it.service = base::ServiceName(service);
    it.address = {host, port};
    it.zone = base::ZoneName(zone);
    it.slots = slots;
    it.isLeaving = isLeaving;
    if (leavesWithin >= 0) {
        it.leavesWithin = base::Duration(leavesWithin);
    }
    it.incarnation = base::Incarnation(incarnation);
    it.heartbeat = heartbeat;
    for (const auto &[model, adapters] : models) {
        it.models.emplace(base::ModelName(model), adapters);
    }
    for (const auto &model : atHand) {
        it.atHand.emplace(model);
    }
    return it;
}

EndpointEntry readEntry(const msgpack::object &object)
{
    constexpr auto MemberCount = std::tuple_size_v<PackedEntry>;
    if (object.type != msgpack::type::ARRAY || object.via.array.size < MemberCount) {
        throw msgpack::type_error();
    }
    auto it = unpackEntry(object.as<PackedEntry>());
    if (object.via.array.size > MemberCount) {
        it.softwareVersion = object.via.array.ptr[MemberCount].as<std::string>();
    }
    return it;
}

void writeEntry(msgpack::packer<msgpack::sbuffer> &packer, const EndpointEntry &entry)
{
    packer.pack_array(std::tuple_size_v<PackedEntry> + 1);
    std::apply([&packer](const auto &...members) { (packer.pack(members), ...); }, packEntry(entry));
    packer.pack(entry.softwareVersion);
}

} // namespace

std::string encode(const std::vector<EndpointEntry> &entries)
{
    msgpack::sbuffer buf;
    msgpack::packer packer(buf);
    packer.pack_array(static_cast<std::uint32_t>(entries.size()));
    for (const auto &it : entries) {
        writeEntry(packer, it);
    }
    return {buf.data(), buf.size()};
}

tl::expected<std::vector<EndpointEntry>, MessageDecodeFailure> decodeEndpointEntries(std::string_view bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        std::vector<EndpointEntry> entries;
        for (const auto &it : handle.get().as<std::vector<msgpack::object>>()) {
            entries.push_back(readEntry(it));
        }
        return entries;
    } catch (const std::exception &) {
        // The library reports truncated or malformed input by exceptions only.
        return tl::unexpected(MessageDecodeFailure::Malformed);
    }
}

} // namespace turmericplank::gateway
