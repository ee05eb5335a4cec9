#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericplank::base {

/// @brief SHA-256 of a byte string, for content-addressed names, which must not collide.
/// @return 64 lower-case hexadecimal digits
std::string digest(std::string_view bytes);

/// @brief 64-bit xxHash of a byte string, for hash tables and fingerprints; not collision-resistant.
/// @param seed use a different seed for each purpose, so that the hashes are independent
std::uint64_t fingerprint(std::string_view bytes, std::uint64_t seed = 0);

} // namespace turmericplank::base
