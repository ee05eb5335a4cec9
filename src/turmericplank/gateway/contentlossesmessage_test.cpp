#include "turmericplank/gateway/contentlossesmessage.hpp"

#include <limits>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;

namespace {

std::vector<requests::ContentLosses> someContents()
{
    const requests::EndpointLoss a{base::EndpointId("a"), base::Incarnation(std::numeric_limits<std::uint64_t>::max())};
    const requests::EndpointLoss b{base::EndpointId("b"), base::Incarnation(0)};
    return {{requests::Fingerprint(std::numeric_limits<std::uint64_t>::max()), {a, b}, {}, true, 7}, {requests::Fingerprint(0), {}, {a}, false, 0}};
}

} // namespace

TEST_CASE("encoded losses of contents decode to the same ones")
{
    CHECK(decodeContentLosses(encode(someContents())) == someContents());
    CHECK(decodeContentLosses(encode(std::vector<requests::ContentLosses>())) == std::vector<requests::ContentLosses>());
}

TEST_CASE("truncated and malformed losses of contents are rejected")
{
    const auto bytes = encode(someContents());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(decodeContentLosses(bytes.substr(0, n)).has_value());
    }
    for (const auto *it : {"\x01", "\xa1x", "\x91\x01", "\x91\x92\x01\x90", "\x91\x95\x01\x91\x01\x90\xc2\x01", "\x91\x93\x01\x90\x90"}) {
        CHECK_FALSE(decodeContentLosses(it).has_value());
    }
}
