#include "turmericplank/base/digest.hpp"

#include <array>

#include <openssl/sha.h>
#include <xxhash.h>

namespace turmericplank::base {

std::string digest(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> buf{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), buf.data());
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const auto it : buf) {
        text += Digits[it >> 4U];
        text += Digits[it & 15U];
    }
    return text;
}

std::uint64_t fingerprint(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

} // namespace turmericplank::base
