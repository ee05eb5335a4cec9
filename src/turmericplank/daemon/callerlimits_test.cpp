#include "turmericplank/daemon/callerlimits.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::daemon;

namespace {

const base::CallerName caller{"office"};
const requests::CallerLimit totalLimit{100, 7};

base::Time at(std::int64_t milliseconds)
{
    return base::timeFromMilliseconds(1'000'000 + milliseconds);
}

/// Two daemons that exchange heartbeats once a second.
struct TwoDaemons
{
    std::vector<base::DaemonId> names = {base::DaemonId("a"), base::DaemonId("b")};
    std::vector<CallerLimits> limits = {CallerLimits(names[0]), CallerLimits(names[1])};
    std::vector<membership::Member> members;
    std::uint64_t sequence = 0;

    TwoDaemons()
    {
        for (const auto &it : names) {
            membership::Member member;
            member.record.id = it;
            members.push_back(member);
        }
    }

    void exchangeHeartbeats(std::int64_t now)
    {
        for (std::size_t n = 0; n < 2; ++n) {
            limits[n].update(members, at(now));
            membership::Heartbeat heartbeat;
            heartbeat.from = names[n];
            heartbeat.sequence = ++sequence;
            heartbeat.receiverSequence = lastSequences[n];
            heartbeat.shares = limits[n].claims(heartbeat.sequence, at(now));
            limits[1 - n].applyHeartbeat(heartbeat);
            lastSequences[1 - n] = heartbeat.sequence;
        }
    }

    std::uint64_t lastSequences[2] = {0, 0};
};

} // namespace

TEST_CASE("a caller's rate moves to the daemon that receives its requests and is never exceeded")
{
    TwoDaemons daemons;
    double first = 0;
    double second = 0;
    for (std::int64_t now = 0; now < 20'000; now += 10) {
        const bool isFirst = now < 10'000;
        auto &busy = isFirst ? first : second;
        busy = daemons.limits[isFirst ? 0 : 1].localLimit(caller, totalLimit, at(now)).requestsPerSecond;
        if (now % 1000 == 0) {
            daemons.exchangeHeartbeats(now);
        }
        if (now == 9'990) {
            CHECK(first >= 90);
        }
    }
    CHECK(second >= 90);
    CHECK(daemons.limits[0].localLimit(caller, totalLimit, at(20'000)).requestsPerSecond + second <= 100.01);
}

TEST_CASE("a caller without a rate limit keeps its concurrency limit")
{
    CallerLimits limits(base::DaemonId("a"));
    const requests::CallerLimit unlimited{0, 7};
    CHECK((limits.localLimit(caller, unlimited, at(0)) == unlimited));
}

TEST_CASE("a single daemon gets the full rate immediately")
{
    CallerLimits limits(base::DaemonId("a"));
    limits.localLimit(caller, totalLimit, at(0));
    CHECK(limits.localLimit(caller, totalLimit, at(1)).requestsPerSecond == doctest::Approx(100));
}
