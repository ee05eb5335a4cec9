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

} // namespace turmericplank::accounts
