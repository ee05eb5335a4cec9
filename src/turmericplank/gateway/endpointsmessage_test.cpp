#include "turmericplank/gateway/endpointsmessage.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;

TEST_CASE("encoded endpoint entries decode to the same entries")
{
    discovery::EndpointEntry it;
    it.id = base::EndpointId("e1");
    it.service = base::ServiceName("s");
    it.address = {"10.0.0.1", 81};
    it.zone = base::ZoneName("z");
    it.softwareVersion = "v1.1";
    it.slots = 7;
    it.isLeaving = true;
    it.leavesWithin = std::chrono::milliseconds(1500);
    it.incarnation = base::Incarnation(1779388595746);
    it.heartbeat = 12;
    it.models[base::ModelName("m")] = {"a1", "a2"};
    it.atHand = {base::ModelName("m"), base::ModelName("n")};
    const std::vector<discovery::EndpointEntry> entries = {it, discovery::EndpointEntry()};
    CHECK(decodeEndpointEntries(encode(entries)) == entries);
}

TEST_CASE("entries of a build that does not know software versions are decoded, and entries with too few members are not")
{
    const std::string withVersion = encode(std::vector<discovery::EndpointEntry>(1));
    auto earlier = withVersion.substr(0, withVersion.size() - 1); // an empty version is one byte
    earlier[1] = static_cast<char>(earlier[1] - 1);
    CHECK(decodeEndpointEntries(earlier) == std::vector<discovery::EndpointEntry>(1));
    CHECK_FALSE(decodeEndpointEntries("\x91\x91\xa1x").has_value());
}

TEST_CASE("malformed or truncated entries are rejected")
{
    CHECK_FALSE(decodeEndpointEntries("").has_value());
    CHECK_FALSE(decodeEndpointEntries("\x91\x01").has_value());
    const auto whole = encode(std::vector<discovery::EndpointEntry>(3));
    CHECK_FALSE(decodeEndpointEntries(std::string_view(whole).substr(0, whole.size() - 4)).has_value());
}
