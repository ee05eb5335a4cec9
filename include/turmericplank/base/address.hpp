#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericplank::base {

/// @brief IPv4 address and port of a listening process.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;
    friend bool operator==(const Address &, const Address &) = default;
};

/// @brief Parses an address of the form 10.0.0.7:8080.
/// @param text IPv4 address, colon and port
/// @return `std::nullopt` if the text has another form, an octet is above 255, or the port is 0 or above 65535
std::optional<Address> parseAddress(std::string_view text);

/// @brief Formats an address so that parseAddress() can parse it.
std::string toString(const Address &address);

} // namespace turmericplank::base
