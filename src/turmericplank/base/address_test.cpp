#include "turmericplank/base/address.hpp"

#include <doctest/doctest.h>

using turmericplank::base::parseAddress;
using turmericplank::base::toString;

TEST_CASE("a parsed address is formatted back to the same text")
{
    const auto address = parseAddress("127.0.0.1:8080");
    REQUIRE(address);
    CHECK(address->port == 8080);
    CHECK(toString(*address) == "127.0.0.1:8080");
}

TEST_CASE("text other than an IPv4 address and a valid port is rejected")
{
    for (const auto *text : {"", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:70000", "1.2.3:4", "1.2.3.4.5:6", "300.0.0.1:5", "1.2.3.4:5x"}) {
        CAPTURE(text);
        CHECK_FALSE(parseAddress(text));
    }
}
