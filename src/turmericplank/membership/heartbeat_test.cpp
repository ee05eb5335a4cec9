#include "turmericplank/membership/heartbeat.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::membership;

namespace {

Heartbeat example()
{
    Heartbeat it;
    it.from = base::DaemonId("entry-1");
    it.incarnation = base::Incarnation(1'700'000'000'000);
    it.sequence = 12;
    it.isLeaving = true;
    it.revision = base::Revision(9);
    it.load = 31;
    it.heard = {{shortName("entry-2"), 250}, {shortName("entry-3"), 4000}};
    it.leaving = {{shortName("e-1"), base::Incarnation(4)}};
    it.suspects = {{shortName("e-2"), true}};
    it.work = {{shortName("e-3"), 3, 2, 1, 160, 32}};
    it.shares = {{shortName("loads"), 12.5, 40}};
    it.receiverSequence = 77;
    it.receiverUseUntil = base::timeFromMilliseconds(1'700'000'009'000);
    return it;
}

} // namespace

TEST_CASE("a heartbeat is unchanged after encoding and decoding")
{
    const auto read = decodeHeartbeat(encode(example()));
    REQUIRE(read);
    CHECK((*read == example()));
}

TEST_CASE("token counts are rounded up to whole units")
{
    auto heartbeat = example();
    heartbeat.work = {{1, 1, 1, 0, 17, 0}};
    CHECK(decodeHeartbeat(encode(heartbeat))->work.front().urgentTokens == 32);
}

TEST_CASE("truncated heartbeats and unknown versions are rejected")
{
    const auto whole = encode(example());
    for (std::size_t n = 0; n < whole.size(); ++n) {
        CAPTURE(n);
        CHECK_FALSE(decodeHeartbeat(whole.substr(0, n)));
    }
    auto unknown = whole;
    unknown[1] = 0;
    CHECK((decodeHeartbeat(unknown).error() == DecodeFailure::UnknownVersion));
}
