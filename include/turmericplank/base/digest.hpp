#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericplank::base {

/// @brief SHA-256 of some bytes, for names that must not collide.
/// @param bytes what to digest
/// @return 64 lower-case hexadecimal digits
std::string digest(std::string_view bytes);

/// @brief 64-bit xxHash of some bytes, for tables and fingerprints.
/// @param bytes what to hash
/// @param seed tells apart hashes of different use
std::uint64_t fingerprint(std::string_view bytes, std::uint64_t seed = 0);

} // namespace turmericplank::base
