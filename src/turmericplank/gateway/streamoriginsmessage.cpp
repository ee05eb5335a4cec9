#include "turmericplank/gateway/streamoriginsmessage.hpp"

#include <algorithm>
#include <limits>
#include <map>

#include <nlohmann/json.hpp>

#include "msgpackarrays.hpp"

namespace turmericplank::gateway {

namespace {

using forwarding::CallDigest;
using forwarding::MixedService;
using forwarding::StreamOrigin;
using RemainingMilliseconds = std::uint32_t; ///< bounded, so that no received value overflows a time

RemainingMilliseconds remaining(base::Time until, base::Time now)
{
    constexpr std::int64_t Max = std::numeric_limits<RemainingMilliseconds>::max();
    return static_cast<RemainingMilliseconds>(std::clamp<std::int64_t>(base::millisecondsBetween(now, until), 0, Max));
}

void writeOrigins(Packer &packer, const std::vector<StreamOrigin> &origins, base::Time now)
{
    std::map<std::string_view, std::vector<const StreamOrigin *>> byVersion;
    for (const auto &it : origins) {
        byVersion[it.softwareVersion].push_back(&it);
    }
    packArraySize(packer, byVersion.size());
    for (const auto &[version, group] : byVersion) {
        packArraySize(packer, 2);
        packer.pack(version);
        packArraySize(packer, group.size());
        for (const auto *it : group) {
            packArraySize(packer, 2);
            packer.pack(it->call);
            packer.pack(remaining(it->neededUntil, now));
        }
    }
}

void writeMixed(Packer &packer, const std::vector<MixedService> &mixed, base::Time now)
{
    packArraySize(packer, mixed.size());
    for (const auto &it : mixed) {
        packArraySize(packer, 2);
        packer.pack(it.service.text());
        packer.pack(remaining(it.mixedUntil, now));
    }
}

base::Time readTime(const msgpack::object &object, base::Time now)
{
    return now + std::chrono::milliseconds(object.as<RemainingMilliseconds>());
}

std::vector<StreamOrigin> readOrigins(const msgpack::object &object, base::Time now)
{
    std::vector<StreamOrigin> origins;
    for (const auto &group : members(object, 0)) {
        const auto parts = members(group, 2);
        const auto version = parts[0].as<std::string>();
        for (const auto &it : members(parts[1], 0)) {
            const auto values = members(it, 2);
            origins.push_back({values[0].as<CallDigest>(), version, readTime(values[1], now)});
        }
    }
    return origins;
}

std::vector<MixedService> readMixed(const msgpack::object &object, base::Time now)
{
    std::vector<MixedService> mixed;
    for (const auto &it : members(object, 0)) {
        const auto values = members(it, 2);
        mixed.push_back({base::ServiceName(values[0].as<std::string>()), readTime(values[1], now)});
    }
    return mixed;
}

} // namespace

std::string encode(const StreamOriginsMessage &message, base::Time now)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packArraySize(packer, 2);
    writeOrigins(packer, message.origins, now);
    writeMixed(packer, message.mixed, now);
    return {buf.data(), buf.size()};
}

tl::expected<StreamOriginsMessage, MessageDecodeFailure> decodeStreamOrigins(std::string_view bytes, base::Time now)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        const auto parts = members(handle.get(), 2);
        return StreamOriginsMessage{readOrigins(parts[0], now), readMixed(parts[1], now)};
    } catch (const std::exception &) {
        // The library reports truncated or malformed input by exceptions only.
        return tl::unexpected(MessageDecodeFailure::Malformed);
    }
}

std::string encode(const forwarding::VersionHistory &history, base::Time now)
{
    auto json = nlohmann::json::object();
    for (const auto &[service, versions] : history) {
        auto &member = json[service.text()] = nlohmann::json::object();
        for (const auto &[version, until] : versions) {
            member[version] = remaining(until, now);
        }
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<forwarding::VersionHistory> decodeVersionHistory(std::string_view text, base::Time now)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    forwarding::VersionHistory history;
    for (const auto &[service, versions] : json.items()) {
        const bool isValid = versions.is_object() && std::ranges::all_of(versions, [](const auto &it) { return it.is_number_unsigned(); });
        if (!isValid) {
            return std::nullopt;
        }
        auto &known = history[base::ServiceName(service)];
        for (const auto &[version, left] : versions.items()) {
            known[version] =
                now + std::chrono::milliseconds(std::min<std::uint64_t>(left.template get<std::uint64_t>(), std::numeric_limits<RemainingMilliseconds>::max()));
        }
    }
    return history;
}

} // namespace turmericplank::gateway
