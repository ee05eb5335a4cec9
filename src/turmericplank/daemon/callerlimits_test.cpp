#include "turmericplank/daemon/callerlimits.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::daemon;

namespace {

const base::CallerName office{"office"};
const requests::CallerLimit whole{100, 7};

base::Time at(std::int64_t milliseconds)
{
    return base::timeFromMilliseconds(1'000'000 + milliseconds);
}

/// Two daemons that beat once a second.
struct Pair
{
    std::vector<base::DaemonId> names = {base::DaemonId("a"), base::DaemonId("b")};
    std::vector<CallerLimits> limits = {CallerLimits(names[0]), CallerLimits(names[1])};
    std::vector<membership::Member> members;
    std::uint64_t sequence = 0;

    Pair()
    {
        for (const auto &it : names) {
            membership::Member member;
            member.record.id = it;
            members.push_back(member);
        }
    }

    void beat(std::int64_t now)
    {
        for (std::size_t n = 0; n < 2; ++n) {
            limits[n].update(members, at(now));
            membership::Heartbeat heartbeat;
            heartbeat.from = names[n];
            heartbeat.sequence = ++sequence;
            heartbeat.receiverSequence = taken[n];
            heartbeat.shares = limits[n].claims(heartbeat.sequence, at(now));
            limits[1 - n].take(heartbeat);
            taken[1 - n] = heartbeat.sequence;
        }
    }

    std::uint64_t taken[2] = {0, 0};
};

} // namespace

TEST_CASE("a caller's rate follows its requests and is never handed out twice")
{
    Pair pair;
    double first = 0;
    double second = 0;
    for (std::int64_t now = 0; now < 20'000; now += 10) {
        const bool isFirst = now < 10'000;
        auto &busy = isFirst ? first : second;
        busy = pair.limits[isFirst ? 0 : 1].shareOf(office, whole, at(now)).requestsPerSecond;
        if (now % 1000 == 0) {
            pair.beat(now);
        }
        if (now == 9'990) {
            CHECK(first >= 90);
        }
    }
    CHECK(second >= 90);
    CHECK(pair.limits[0].shareOf(office, whole, at(20'000)).requestsPerSecond + second <= 100.01);
}

TEST_CASE("a caller without a rate keeps its other limits")
{
    CallerLimits limits(base::DaemonId("a"));
    const requests::CallerLimit unlimited{0, 7};
    CHECK((limits.shareOf(office, unlimited, at(0)) == unlimited));
}

TEST_CASE("a daemon alone has the whole rate at once")
{
    CallerLimits limits(base::DaemonId("a"));
    limits.shareOf(office, whole, at(0));
    CHECK(limits.shareOf(office, whole, at(1)).requestsPerSecond == doctest::Approx(100));
}
