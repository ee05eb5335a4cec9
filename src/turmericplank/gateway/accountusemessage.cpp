#include "turmericplank/gateway/accountusemessage.hpp"

#include <cmath>

#include "msgpackarrays.hpp"

namespace turmericplank::gateway {

namespace {

struct Entry
{
    base::CallerName account;
    double first = 0;
    double second = 0;
};

std::string encodeEntries(const std::vector<Entry> &entries)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packArraySize(packer, entries.size());
    for (const auto &it : entries) {
        packArraySize(packer, 3);
        packer.pack(it.account.text());
        packer.pack(it.first);
        packer.pack(it.second);
    }
    return {buf.data(), buf.size()};
}

/// @throws msgpack::type_error if it is not a finite number that is not negative
double readNumber(const msgpack::object &object)
{
    const auto value = object.as<double>();
    if (!std::isfinite(value) || value < 0) {
        throw msgpack::type_error();
    }
    return value;
}

tl::expected<std::vector<Entry>, MessageDecodeFailure> decodeEntries(std::string_view bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        std::vector<Entry> entries;
        for (const auto &it : members(handle.get(), 0)) {
            const auto fields = members(it, 3);
            entries.push_back({base::CallerName(fields[0].as<std::string>()), readNumber(fields[1]), readNumber(fields[2])});
        }
        return entries;
    } catch (const std::exception &) {
        // The library reports truncated or malformed input by exceptions only.
        return tl::unexpected(MessageDecodeFailure::Malformed);
    }
}

} // namespace

std::string encode(const std::vector<accounts::AccountUse> &uses)
{
    std::vector<Entry> entries;
    for (const auto &it : uses) {
        entries.push_back({it.account, it.requested, it.admitted});
    }
    return encodeEntries(entries);
}

std::string encode(const std::vector<accounts::UsageGrant> &grants)
{
    std::vector<Entry> entries;
    for (const auto &it : grants) {
        entries.push_back({it.account, it.share, it.admittedFraction});
    }
    return encodeEntries(entries);
}

tl::expected<std::vector<accounts::AccountUse>, MessageDecodeFailure> decodeAccountUses(std::string_view bytes)
{
    return decodeEntries(bytes).map([](const std::vector<Entry> &entries) {
        std::vector<accounts::AccountUse> uses;
        for (const auto &it : entries) {
            uses.push_back({it.account, it.first, it.second});
        }
        return uses;
    });
}

tl::expected<std::vector<accounts::UsageGrant>, MessageDecodeFailure> decodeUsageGrants(std::string_view bytes)
{
    return decodeEntries(bytes).map([](const std::vector<Entry> &entries) {
        std::vector<accounts::UsageGrant> grants;
        for (const auto &it : entries) {
            grants.push_back({it.account, it.first, it.second});
        }
        return grants;
    });
}

} // namespace turmericplank::gateway
