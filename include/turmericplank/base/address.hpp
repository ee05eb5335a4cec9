#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericplank::base {

/// @brief IP number and port of a listening process.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;
    friend bool operator==(const Address &, const Address &) = default;
};

/// @brief Reads an address of the form 10.0.0.7:8080.
/// @param text the address as written
/// @return nothing if the text is not an IPv4 number, a colon and a port
std::optional<Address> parseAddress(std::string_view text);

/// @brief Writes an address the way that parseAddress() reads it.
/// @param address the address to write
std::string toString(const Address &address);

} // namespace turmericplank::base
