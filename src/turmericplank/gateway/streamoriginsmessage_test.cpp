#include "turmericplank/gateway/streamoriginsmessage.hpp"

#include <limits>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

constexpr auto Start = base::timeFromMilliseconds(1'000'000);
constexpr auto MaxDigest = std::numeric_limits<forwarding::CallDigest>::max();

StreamOriginsMessage someMessage()
{
    return {{{MaxDigest, "v1", Start + 1ms}, {0, "v1", Start + 300s}, {7, "v2", Start + 65536ms}}, {{base::ServiceName("chat"), Start + 60s}}};
}

} // namespace

TEST_CASE("an encoded message about stream origins decodes to the same message")
{
    CHECK(decodeStreamOrigins(encode(someMessage(), Start), Start) == someMessage());
    CHECK(decodeStreamOrigins(encode(StreamOriginsMessage(), Start), Start) == StreamOriginsMessage());
}

TEST_CASE("origins are grouped by version and keep their order within it")
{
    const StreamOriginsMessage mixedUp = {{{3, "v2", Start + 1s}, {2, "v1", Start + 1s}, {1, "v2", Start + 1s}}, {}};
    const StreamOriginsMessage grouped = {{{2, "v1", Start + 1s}, {3, "v2", Start + 1s}, {1, "v2", Start + 1s}}, {}};
    CHECK(decodeStreamOrigins(encode(mixedUp, Start), Start) == grouped);
}

TEST_CASE("times are sent as remaining milliseconds, so that clocks may differ")
{
    const auto there = Start - 1h;
    const auto decoded = decodeStreamOrigins(encode(someMessage(), Start + 500us), there);
    REQUIRE(decoded.has_value());
    CHECK(decoded->origins[0].neededUntil == there); // less than a millisecond remains
    CHECK(decoded->origins[1].neededUntil == there + 299999ms);
    CHECK(decoded->mixed[0].mixedUntil == there + 59999ms);
}

TEST_CASE("times that have passed or are very far away are sent as the nearest ones that can be")
{
    const StreamOriginsMessage message = {{{1, "v1", Start - 1s}, {2, "v1", Start + 24h * 365}}, {{base::ServiceName("chat"), Start - 1s}}};
    const auto decoded = decodeStreamOrigins(encode(message, Start), Start);
    REQUIRE(decoded.has_value());
    CHECK(decoded->origins[0].neededUntil == Start);
    CHECK(decoded->origins[1].neededUntil == Start + 4294967295ms);
    CHECK(decoded->mixed[0].mixedUntil == Start);
}

TEST_CASE("an origin takes at most 16 bytes")
{
    constexpr std::size_t Origins = 1000;
    StreamOriginsMessage message;
    for (std::size_t i = 0; i < Origins; ++i) {
        message.origins.push_back({MaxDigest - i, "a-software-version", Start + 300s});
    }
    const auto overhead = encode({{{1, "a-software-version", Start}}, {}}, Start).size();
    CHECK(encode(message, Start).size() <= overhead + 16 * Origins);
}

TEST_CASE("a message about stream origins that is cut off anywhere is rejected")
{
    const auto whole = encode(someMessage(), Start);
    for (std::size_t i = 0; i < whole.size(); ++i) {
        CAPTURE(i);
        CHECK(decodeStreamOrigins(std::string_view(whole).substr(0, i), Start) == tl::unexpected(MessageDecodeFailure::Malformed));
    }
}

TEST_CASE("messages about stream origins of a wrong shape are rejected")
{
    const std::vector<std::string> wrong = {
        "\x01"s, // no array
        "\x80"s, // a map
        "\x90"s, // no members
        "\x91\x90"s, // mixed services are missing
        "\x92\x01\x90"s, // origins are no array
        "\x92\x90\x01"s, // mixed services are no array
        "\x92\x91\x01\x90"s, // a group is no array
        "\x92\x91\x91\xa1v\x90"s, // a group without origins
        "\x92\x91\x92\x01\x90\x90"s, // a version that is no text
        "\x92\x91\x92\xa1v\x01\x90"s, // origins of a group are no array
        "\x92\x91\x92\xa1v\x91\x01\x90"s, // an origin is no array
        "\x92\x91\x92\xa1v\x91\x91\x01\x90"s, // an origin without a time
        "\x92\x91\x92\xa1v\x91\x92\xff\x01\x90"s, // a negative digest
        "\x92\x91\x92\xa1v\x91\x92\x01\xff\x90"s, // a negative time
        "\x92\x91\x92\xa1v\x91\x92\x01\xcf\x00\x00\x00\x01\x00\x00\x00\x00\x90"s, // a time that is too long
        "\x92\x91\x92\xa1v\x91\x92\x01\xa1x\x90"s, // a time that is text
        "\x92\x90\x91\x91\xa1s"s, // a mixed service without a time
        "\x92\x90\x91\x92\x01\x01"s, // a service that is no text
        "\x92\x90\x91\x92\xa1s\xff"s, // a negative time
    };
    for (const auto &it : wrong) {
        CAPTURE(&it - wrong.data());
        CHECK(decodeStreamOrigins(it, Start) == tl::unexpected(MessageDecodeFailure::Malformed));
    }
    CHECK(decodeStreamOrigins("\x92\x91\x92\xa1v\x91\x92\x01\x02\x91\x92\xa1s\x03", Start)
          == StreamOriginsMessage{{{1, "v", Start + 2ms}}, {{base::ServiceName("s"), Start + 3ms}}});
}

TEST_CASE("an encoded history of versions decodes to the same history, with times that count from the receiver's now")
{
    const auto now = base::timeFromMilliseconds(1'000'000);
    const forwarding::VersionHistory history{{base::ServiceName("s"), {{"v1", now + 5s}, {"v2", now + 60s}}}, {base::ServiceName("t"), {}}};
    CHECK(decodeVersionHistory(encode(history, now), now) == history);
    const auto later = decodeVersionHistory(encode(history, now + 2s), now + 1h);
    REQUIRE(later);
    CHECK(later->at(base::ServiceName("s")).at("v1") == now + 1h + 3s);
    CHECK(decodeVersionHistory(encode(forwarding::VersionHistory(), now), now) == forwarding::VersionHistory());
}

TEST_CASE("malformed histories of versions are rejected")
{
    for (const auto *it : {"", "[]", R"({"s":"v1"})", R"({"s":["v1"]})", R"({"s":{"v1":-1}})", R"({"s":{"v1":1})"}) {
        CHECK_FALSE(decodeVersionHistory(it, base::Time()));
    }
}
