#include "turmericplank/base/address.hpp"

#include <charconv>

namespace turmericplank::base {

namespace {

constexpr int OctetCount = 4;

std::optional<unsigned> parseUnsigned(std::string_view text, unsigned max)
{
    unsigned value = 0;
    const auto end = text.data() + text.size();
    const auto [position, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc() || position != end || value > max) {
        return std::nullopt;
    }
    return value;
}

bool isIpv4Address(std::string_view host)
{
    for (int n = 0; n < OctetCount; ++n) {
        const auto dot = host.find('.');
        const bool isLast = n + 1 == OctetCount;
        if (isLast != (dot == std::string_view::npos) || !parseUnsigned(host.substr(0, dot), 255)) {
            return false;
        }
        host = isLast ? std::string_view() : host.substr(dot + 1);
    }
    return true;
}

} // namespace

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto host = text.substr(0, colon);
    const auto port = parseUnsigned(text.substr(colon + 1), 65535);
    if (!port || *port == 0 || !isIpv4Address(host)) {
        return std::nullopt;
    }
    return Address{std::string(host), static_cast<std::uint16_t>(*port)};
}

std::string toString(const Address &address)
{
    return address.host + ':' + std::to_string(address.port);
}

} // namespace turmericplank::base
