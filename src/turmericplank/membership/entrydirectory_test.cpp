#include "turmericplank/membership/entrydirectory.hpp"

#include <doctest/doctest.h>

#include "turmericplank/membership/drain.hpp"

using namespace turmericplank;
using namespace turmericplank::membership;
using namespace std::chrono_literals;

namespace {

base::Time at(std::int64_t milliseconds)
{
    return base::timeFromMilliseconds(1'000'000 + milliseconds);
}

std::vector<Member> eightMembers()
{
    std::vector<Member> members;
    for (std::uint16_t n = 0; n < 8; ++n) {
        Member it;
        it.record.id = base::DaemonId("entry-" + std::to_string(n));
        it.record.zone = base::ZoneName("r/" + std::to_string(n % 3));
        it.record.callerAddress = {"127.0.0.1", static_cast<std::uint16_t>(100 + n)};
        members.push_back(it);
    }
    return members;
}

std::map<std::uint16_t, int> countFirstAddresses(const std::vector<Member> &members, const std::string &zone, int answers)
{
    EntryDirectory directory;
    std::mt19937_64 random(3);
    std::map<std::uint16_t, int> counts;
    for (int n = 0; n < answers; ++n) {
        ++counts[directory.answer(members, base::ZoneName(zone), at(n), random)->addresses.front().port];
    }
    return counts;
}

} // namespace

TEST_CASE("callers of one zone are spread over all daemons, with a preference for their own zone")
{
    const auto counts = countFirstAddresses(eightMembers(), "r/0", 4000);
    REQUIRE(counts.size() == 8);
    for (const auto &it : counts) {
        CAPTURE(it.first);
        CHECK(it.second > 4000 / 8 / 2);
        CHECK(it.second < 4000 / 8 * 2);
    }
    CHECK(counts.at(100) > counts.at(101));
}

TEST_CASE("a loaded daemon is returned less often, a leaving or suspect one never")
{
    auto members = eightMembers();
    members[0].load = 400;
    members[1].state = LiveState::Leaving;
    members[2].state = LiveState::Suspect;
    auto counts = countFirstAddresses(members, "", 2000);
    CHECK(counts[100] < counts[103] / 4);
    CHECK(counts[101] == 0);
    CHECK(counts[102] == 0);
    for (auto &it : members) {
        it.state = LiveState::Gone;
    }
    EntryDirectory directory;
    std::mt19937_64 random(3);
    CHECK_FALSE(directory.answer(members, {}, at(0), random));
}

TEST_CASE("a leaving daemon accepts requests until the last answer with its address has expired")
{
    EntryDirectory directory;
    std::mt19937_64 random(3);
    auto members = eightMembers();
    members.resize(1);
    const auto answer = directory.answer(members, {}, at(0), random);
    REQUIRE(answer);
    CHECK(directory.lastUseUntil(members[0].record.id) == answer->useUntil);
    CHECK(answer->useUntil <= at(0) + directory.answerLifetime());

    Drain drain(at(100), answer->useUntil, at(100) + 12500ms);
    drain.expect(base::DaemonId("entry-1"));
    CHECK(drain.rejectFrom() == at(12600));
    drain.noteHeartbeat(base::DaemonId("entry-1"), at(10500), false);
    CHECK(drain.rejectFrom() == at(12600));
    drain.noteHeartbeat(base::DaemonId("entry-1"), at(10700), true);
    CHECK(drain.rejectFrom() == std::max(answer->useUntil, at(10700)));
}
