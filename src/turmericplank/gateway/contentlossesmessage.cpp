#include "turmericplank/gateway/contentlossesmessage.hpp"

#include "msgpackarrays.hpp"

namespace turmericplank::gateway {

namespace {

using requests::ContentLosses;
using requests::EndpointLoss;

void packLosses(Packer &packer, const std::vector<EndpointLoss> &losses)
{
    packArraySize(packer, losses.size());
    for (const auto &it : losses) {
        packArraySize(packer, 2);
        packer.pack(it.endpoint.text());
        packer.pack(it.incarnation.value());
    }
}

std::vector<EndpointLoss> readLosses(const msgpack::object &object)
{
    std::vector<EndpointLoss> losses;
    for (const auto &it : members(object, 0)) {
        const auto fields = members(it, 2);
        losses.push_back({base::EndpointId(fields[0].as<std::string>()), base::Incarnation(fields[1].as<std::uint64_t>())});
    }
    return losses;
}

} // namespace

std::string encode(const std::vector<ContentLosses> &contents)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packArraySize(packer, contents.size());
    for (const auto &it : contents) {
        packArraySize(packer, 5);
        packer.pack(it.content.value());
        packLosses(packer, it.counted);
        packLosses(packer, it.cleared);
        packer.pack(it.isProven);
        packer.pack(it.trials);
    }
    return {buf.data(), buf.size()};
}

tl::expected<std::vector<ContentLosses>, MessageDecodeFailure> decodeContentLosses(std::string_view bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        std::vector<ContentLosses> contents;
        for (const auto &it : members(handle.get(), 0)) {
            const auto fields = members(it, 5);
            contents.push_back({requests::Fingerprint(fields[0].as<std::uint64_t>()), readLosses(fields[1]), readLosses(fields[2]), fields[3].as<bool>(),
                                fields[4].as<std::uint32_t>()});
        }
        return contents;
    } catch (const std::exception &) {
        // The library reports truncated or malformed input by exceptions only.
        return tl::unexpected(MessageDecodeFailure::Malformed);
    }
}

} // namespace turmericplank::gateway
