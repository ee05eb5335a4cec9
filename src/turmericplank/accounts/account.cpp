#include "turmericplank/accounts/account.hpp"

#include <algorithm>

#include <openssl/sha.h>

namespace turmericplank::accounts {

static_assert(std::tuple_size_v<KeyDigest> == SHA256_DIGEST_LENGTH);

KeyDigest digestKey(std::string_view key)
{
    KeyDigest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

double usageOf(const UsageLimit &limit, std::optional<std::uint64_t> statedTokens)
{
    if (limit.unit == UsageUnit::Calls) {
        return 1;
    }
    // No call is free, whatever it states.
    return std::max(1.0, statedTokens ? static_cast<double>(*statedTokens) : limit.plainCallTokens);
}

std::uint32_t urgencyOf(const std::vector<std::uint32_t> &priorities, std::optional<std::uint32_t> priority, std::uint32_t routeUrgency)
{
    constexpr std::size_t Urgencies = 10; // that engines tell apart
    if (priorities.size() < 2) {
        return routeUrgency;
    }
    const auto level = priority ? std::ranges::lower_bound(priorities, *priority) - priorities.begin() : std::ptrdiff_t(priorities.size() - 1);
    const auto perLevel = std::max<std::size_t>(1, Urgencies / priorities.size());
    const auto sum = static_cast<std::size_t>(level) * perLevel + std::min<std::size_t>(routeUrgency, perLevel - 1);
    return static_cast<std::uint32_t>(std::min(sum, Urgencies - 1));
}

} // namespace turmericplank::accounts
