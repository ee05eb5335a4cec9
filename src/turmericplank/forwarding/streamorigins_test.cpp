#include "turmericplank/forwarding/streamorigins.hpp"

#include <algorithm>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::forwarding;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::timeFromMilliseconds(1'000'000);
const base::ServiceName chat("chat");
const base::ServiceName search("search");

StreamOrigin origin(CallDigest call, const std::string &version = "v1", base::Time neededUntil = Start + 300s)
{
    return {call, version, neededUntil};
}

std::string versionOf(const StreamOrigins &origins, CallDigest call)
{
    const auto *it = origins.find(call);
    return it != nullptr ? *it : "unknown";
}

std::vector<CallDigest> sortedCalls(const std::vector<StreamOrigin> &origins)
{
    std::vector<CallDigest> calls;
    for (const auto &it : origins) {
        calls.push_back(it.call);
    }
    std::ranges::sort(calls);
    return calls;
}

using Calls = std::vector<CallDigest>;

} // namespace

TEST_CASE("digests of call ids are the same in all builds")
{
    CHECK(callDigest("") == 0x2d06800538d394c2U);
    CHECK(callDigest("call-1") == callDigest(std::string("call-") + '1'));
    CHECK(callDigest("call-1") != callDigest("call-2"));
}

TEST_CASE("the version of a recorded stream is found")
{
    StreamOrigins origins;
    CHECK(origins.find(1) == nullptr);
    origins.record(chat, origin(1), Start);
    origins.recordFromPeer({origin(2, "v2")}, Start);
    CHECK(versionOf(origins, 1) == "v1");
    CHECK(versionOf(origins, 2) == "v2");
    CHECK(origins.size() == 2);
}

TEST_CASE("a known call keeps its first version, also if it is needed for longer")
{
    StreamOrigins origins;
    origins.record(chat, origin(1, "v1", Start + 10s), Start);
    origins.record(chat, origin(1, "v2", Start + 20s), Start);
    origins.record(chat, origin(1, "v3", Start + 5s), Start);
    origins.recordFromPeer({origin(2, "v1", Start + 10s), origin(2, "v2", Start + 20s)}, Start);
    CHECK(origins.size() == 2);
    origins.expire(Start + 19s);
    CHECK(versionOf(origins, 1) == "v1");
    CHECK(versionOf(origins, 2) == "v1");
    origins.expire(Start + 20s);
    CHECK(origins.size() == 0);
}

TEST_CASE("an own origin wins over one from a peer, whichever comes first")
{
    StreamOrigins origins;
    origins.record(chat, origin(1, "own"), Start);
    origins.recordFromPeer({origin(1, "peer"), origin(2, "peer")}, Start);
    origins.record(chat, origin(2, "own"), Start);
    CHECK(versionOf(origins, 1) == "own");
    CHECK(versionOf(origins, 2) == "own");
}

TEST_CASE("a service is mixed while several versions serve and for the memory after that")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteVersions({{chat, {"v1"}}, {search, {"v1"}}}, Start);
    CHECK_FALSE(origins.isMixed(chat, Start));
    origins.noteVersions({{chat, {"v1", "v2"}}, {search, {"v1"}}}, Start);
    origins.noteVersions({{chat, {"v1", "v2"}}, {search, {"v1"}}}, Start + 30s);
    origins.noteVersions({{chat, {"v2"}}, {search, {"v1"}}}, Start + 31s);
    origins.noteVersions({{chat, {"v2"}}, {search, {"v1"}}}, Start + 32s);
    // The other version may have served until shortly before the read at 31 s.
    CHECK(origins.isMixed(chat, Start + 91s - 1us));
    CHECK_FALSE(origins.isMixed(chat, Start + 91s));
    CHECK_FALSE(origins.isMixed(search, Start + 32s));
    CHECK(origins.mixedServices(Start + 32s) == std::vector<MixedService>{{chat, Start + 91s}});
    CHECK(origins.mixedServices(Start + 91s).empty());
}

TEST_CASE("the versions of a service are known since they were first listed")
{
    StreamOrigins origins;
    CHECK_FALSE(origins.versionsKnownSince(chat));
    origins.noteVersions({{chat, {"v1"}}}, Start);
    origins.noteVersions({{chat, {"v2"}}, {search, {"v1"}}}, Start + 1s);
    CHECK(origins.versionsKnownSince(chat) == Start);
    CHECK(origins.versionsKnownSince(search) == Start + 1s);
}

TEST_CASE("the later time counts if several daemons know that a service is mixed")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteMixed({{chat, Start + 10s}, {search, Start}}, Start);
    CHECK_FALSE(origins.isMixed(search, Start));
    origins.noteMixed({{chat, Start + 5s}}, Start);
    CHECK(origins.isMixed(chat, Start + 10s - 1us));
    CHECK_FALSE(origins.isMixed(chat, Start + 10s));
    origins.noteVersions({{chat, {"v1", "v2"}}}, Start);
    origins.noteMixed({{chat, Start + 70s}}, Start);
    origins.noteVersions({{chat, {"v1", "v2"}}}, Start + 1s);
    origins.noteVersions({{chat, {"v2"}}}, Start + 2s);
    CHECK(origins.isMixed(chat, Start + 70s - 1us));
    CHECK_FALSE(origins.isMixed(chat, Start + 70s));
}

TEST_CASE("what a peer reports as mixed is not reported further")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteMixed({{chat, Start + 70s}}, Start);
    CHECK(origins.mixedServices(Start).empty());
    origins.noteVersions({{chat, {"v1", "v2"}}}, Start);
    CHECK(origins.mixedServices(Start) == std::vector<MixedService>{{chat, Start + 60s}});
}

TEST_CASE("a service whose endpoints were all replaced between two reads is mixed")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteVersions({{chat, {"v1"}}}, Start);
    origins.noteVersions({{chat, {"v2"}}}, Start + 1s);
    CHECK(origins.isMixed(chat, Start + 61s - 1us));
    CHECK_FALSE(origins.isMixed(chat, Start + 61s));
}

TEST_CASE("a service is mixed if another version is in its history, for the memory")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteVersions({{chat, {"v2"}}, {search, {"v1"}}}, Start);
    origins.noteHistory({{chat, {{"v1", Start + 61s}}}, {search, {{"v1", Start + 61s}}}}, Start + 1s);
    CHECK(origins.isMixed(chat, Start + 61s - 1us));
    CHECK_FALSE(origins.isMixed(chat, Start + 61s));
    CHECK_FALSE(origins.isMixed(search, Start + 1s));
    // The order of both does not matter.
    StreamOrigins other({.mixedMemory = 60s});
    other.noteHistory({{chat, {{"v1", Start + 60s}}}}, Start);
    CHECK_FALSE(other.isMixed(chat, Start));
    other.noteVersions({{chat, {"v2"}}}, Start + 1s);
    CHECK(other.isMixed(chat, Start + 60s - 1us));
    CHECK_FALSE(other.isMixed(chat, Start + 60s));
}

TEST_CASE("histories that are noted one after the other add up, and are forgotten after the memory")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteHistory({{chat, {{"v1", Start + 60s}}}}, Start);
    origins.noteHistory({{chat, {{"v2", Start + 61s}}}}, Start + 1s);
    CHECK(origins.isMixed(chat, Start + 1s));
    origins.noteHistory({{chat, {{"v3", Start + 121s}}}}, Start + 61s);
    CHECK_FALSE(origins.isMixed(chat, Start + 61s));
}

TEST_CASE("a service stays mixed for as long as several versions are listed, also if the entries are not read again")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteVersions({{chat, {"v1", "v2"}}}, Start);
    CHECK(origins.isMixed(chat, Start + 61s));
}

TEST_CASE("a version of a history is forgotten after the memory, also if other histories are noted in between")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteHistory({{chat, {{"v1", Start + 60s}}}}, Start);
    for (auto now = Start; now < Start + 200s; now += 20s) {
        origins.noteVersions({{chat, {"v2"}}}, now);
        origins.noteHistory({{chat, {{"v2", now + 60s}}}}, now); // from daemons that start and that know nothing of v1
    }
    CHECK_FALSE(origins.isMixed(chat, Start + 200s));
}

TEST_CASE("the history of a service is known once it was noted, or after the memory")
{
    StreamOrigins origins({.mixedMemory = 60s});
    CHECK_FALSE(origins.isHistoryKnown(chat, Start));
    origins.noteVersions({{chat, {"v1"}}}, Start);
    CHECK_FALSE(origins.isHistoryKnown(chat, Start + 60s - 1us));
    CHECK(origins.isHistoryKnown(chat, Start + 60s));
    CHECK_FALSE(origins.isHistoryKnown(search, Start + 60s));
    origins.noteHistory({}, Start + 1s);
    CHECK(origins.isHistoryKnown(search, Start + 1s));
}

TEST_CASE("a history has the versions that are listed, that were listed and that others know, until each of them is forgotten")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteHistory({{chat, {{"v0", Start + 30s}}}}, Start);
    origins.noteVersions({{chat, {"v1"}}}, Start);
    origins.noteVersions({{chat, {"v2"}}}, Start + 1s);
    CHECK(origins.mixedServices(Start + 1s) == std::vector<MixedService>{{chat, Start + 61s}});
    CHECK(origins.history(Start + 2s) == VersionHistory{{chat, {{"v0", Start + 30s}, {"v1", Start + 61s}, {"v2", Start + 62s}}}});
    CHECK(origins.history(Start + 61s - 1us) == VersionHistory{{chat, {{"v1", Start + 61s}, {"v2", Start + 121s - 1us}}}});
    origins.expire(Start + 61s);
    CHECK(origins.history(Start + 100s) == VersionHistory{{chat, {{"v2", Start + 160s}}}});
}

TEST_CASE("a version that others know for longer than this daemon remembers is kept for the memory")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteHistory({{chat, {{"v1", Start + 1h}, {"v2", Start + 10s}}}}, Start);
    CHECK(origins.isMixed(chat, Start + 10s - 1us));
    CHECK_FALSE(origins.isMixed(chat, Start + 10s));
    CHECK(origins.history(Start + 60s - 1us).at(chat).contains("v1"));
    CHECK(origins.history(Start + 60s).empty());
}

TEST_CASE("the only version of a service is certain if its history is known and no other one is in it")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteVersions({{chat, {"v1"}}}, Start);
    CHECK_FALSE(origins.onlyVersion(chat, Start));
    origins.noteHistory({}, Start);
    CHECK(origins.onlyVersion(chat, Start) == "v1");
    CHECK_FALSE(origins.onlyVersion(search, Start));
    origins.noteHistory({{chat, {{"v0", Start + 10s}}}}, Start);
    CHECK_FALSE(origins.onlyVersion(chat, Start + 10s - 1us));
    CHECK(origins.onlyVersion(chat, Start + 10s) == "v1");
}

TEST_CASE("origins of a service that runs one version are not returned for all peers")
{
    StreamOrigins origins;
    origins.noteVersions({{chat, {"v1"}}, {search, {"v1", "v2"}}}, Start);
    origins.record(chat, origin(1), Start);
    origins.recordFromPeer({origin(2)}, Start);
    CHECK(origins.takeUnsent(Start).empty());
    CHECK(origins.ownOfMixedServices(Start).empty());
}

TEST_CASE("each own origin of a service that runs one version is returned once to be copied, and again if it is needed for longer")
{
    StreamOrigins origins;
    origins.noteVersions({{chat, {"v1"}}, {search, {"v1", "v2"}}}, Start);
    origins.record(chat, origin(1, "v1", Start + 10s), Start);
    origins.record(search, origin(2), Start);
    origins.recordFromPeer({origin(3)}, Start);
    CHECK(origins.takeUncopied(Start) == std::vector<StreamOrigin>{origin(1, "v1", Start + 10s)});
    CHECK(origins.takeUncopied(Start).empty());
    origins.record(chat, origin(1, "v2", Start + 20s), Start);
    CHECK(origins.takeUncopied(Start) == std::vector<StreamOrigin>{origin(1, "v1", Start + 20s)});
    CHECK(sortedCalls(origins.ownOrigins(Start)) == Calls{1, 2});
    CHECK(sortedCalls(origins.takeUnsent(Start)) == Calls{2});
}

TEST_CASE("origins that are still to be copied when their service becomes mixed go to all peers instead")
{
    StreamOrigins origins;
    origins.noteVersions({{chat, {"v1"}}}, Start);
    origins.record(chat, origin(1), Start);
    origins.noteVersions({{chat, {"v1", "v2"}}}, Start);
    CHECK(origins.takeUncopied(Start).empty());
    CHECK(sortedCalls(origins.takeUnsent(Start)) == Calls{1});
}

TEST_CASE("origins that are no longer needed are not copied")
{
    StreamOrigins origins;
    origins.noteVersions({{chat, {"v1"}}}, Start);
    origins.record(chat, origin(1, "v1", Start + 1s), Start);
    origins.record(chat, origin(2, "v1", Start + 2s), Start);
    CHECK(sortedCalls(origins.ownOrigins(Start + 1s)) == Calls{2});
    CHECK(sortedCalls(origins.takeUncopied(Start + 1s)) == Calls{2});
}

TEST_CASE("each own origin of a mixed service is returned once, including those from before")
{
    StreamOrigins origins;
    origins.record(chat, origin(1), Start);
    origins.record(search, origin(2), Start);
    origins.recordFromPeer({origin(3)}, Start);
    CHECK(origins.takeUnsent(Start).empty());
    SUBCASE("this daemon sees several versions")
    {
        origins.noteVersions({{chat, {"v1", "v2"}}}, Start);
    }
    SUBCASE("another daemon sees them")
    {
        origins.noteMixed({{chat, Start + 60s}}, Start);
    }
    origins.record(chat, origin(4), Start);
    CHECK(sortedCalls(origins.takeUnsent(Start)) == Calls{1, 4});
    CHECK(origins.takeUnsent(Start).empty());
    origins.noteVersions({{chat, {"v1", "v2"}}}, Start + 1s);
    origins.record(chat, origin(4, "v2"), Start + 1s);
    CHECK(origins.takeUnsent(Start + 1s).empty());
    origins.record(chat, origin(5, "v2"), Start + 1s);
    CHECK(origins.takeUnsent(Start + 1s) == std::vector<StreamOrigin>{origin(5, "v2")});
    CHECK(sortedCalls(origins.ownOfMixedServices(Start + 1s)) == Calls{1, 4, 5});
    CHECK(origins.takeUnsent(Start + 1s).empty());
}

TEST_CASE("an origin that is needed for longer is returned again with its first version")
{
    StreamOrigins origins;
    origins.noteVersions({{chat, {"v1", "v2"}}}, Start);
    origins.record(chat, origin(1, "v1", Start + 10s), Start);
    CHECK(origins.takeUnsent(Start).size() == 1);
    origins.record(chat, origin(1, "v2", Start + 20s), Start);
    CHECK(origins.takeUnsent(Start) == std::vector<StreamOrigin>{origin(1, "v1", Start + 20s)});
}

TEST_CASE("when a service becomes mixed again, all its own origins are unsent")
{
    StreamOrigins origins({.mixedMemory = 60s});
    origins.noteVersions({{chat, {"v1", "v2"}}}, Start);
    origins.record(chat, origin(1), Start);
    CHECK(sortedCalls(origins.takeUnsent(Start)) == Calls{1});
    origins.noteVersions({{chat, {"v2"}}}, Start);
    origins.record(chat, origin(2), Start + 59s);
    CHECK(origins.takeUnsent(Start + 60s).empty());
    origins.record(chat, origin(3), Start + 61s);
    SUBCASE("before the end of the first time is noticed")
    {
    }
    SUBCASE("after it")
    {
        origins.expire(Start + 61s);
    }
    origins.noteVersions({{chat, {"v2", "v3"}}}, Start + 62s);
    CHECK(sortedCalls(origins.takeUnsent(Start + 62s)) == Calls{1, 2, 3});
    CHECK(origins.takeUnsent(Start + 62s).empty());
}

TEST_CASE("origins that are no longer needed are dropped and not returned")
{
    StreamOrigins origins;
    origins.noteVersions({{chat, {"v1", "v2"}}}, Start);
    origins.record(chat, origin(1, "v1", Start + 1s), Start);
    origins.record(chat, origin(2, "v1", Start + 2s), Start);
    origins.recordFromPeer({origin(3, "v1", Start + 1s), origin(4, "v1", Start + 2s), origin(5, "v1", Start)}, Start);
    CHECK(origins.size() == 4);
    CHECK(sortedCalls(origins.ownOfMixedServices(Start + 1s)) == Calls{2});
    CHECK(sortedCalls(origins.takeUnsent(Start + 1s)) == Calls{2});
    origins.expire(Start + 1s);
    CHECK(origins.size() == 2);
    CHECK(versionOf(origins, 1) == "unknown");
    CHECK(versionOf(origins, 2) == "v1");
    CHECK(versionOf(origins, 3) == "unknown");
    CHECK(versionOf(origins, 4) == "v1");
}

TEST_CASE("a dropped origin leaves no trace in what is sent")
{
    StreamOrigins origins;
    origins.noteVersions({{chat, {"v1", "v2"}}}, Start);
    origins.record(chat, origin(1, "v1", Start + 1s), Start);
    origins.expire(Start + 1s);
    CHECK(origins.takeUnsent(Start + 1s).empty());
    origins.record(chat, origin(1, "v2"), Start + 1s);
    CHECK(origins.takeUnsent(Start + 1s) == std::vector<StreamOrigin>{origin(1, "v2")});
}

TEST_CASE("when a map is full, expired origins go first, then the one that is needed for the shortest time")
{
    StreamOrigins origins({.maxOrigins = 2});
    origins.noteVersions({{chat, {"v1", "v2"}}}, Start);
    origins.record(chat, origin(1, "v1", Start + 9s), Start);
    origins.record(chat, origin(2, "v1", Start + 1s), Start);
    origins.recordFromPeer({origin(11, "v1", Start + 9s), origin(12, "v1", Start + 8s), origin(13, "v1", Start + 10s)}, Start);
    CHECK(origins.size() == 4);
    CHECK(versionOf(origins, 12) == "unknown");
    origins.record(chat, origin(3, "v1", Start + 8s), Start + 2s);
    CHECK(versionOf(origins, 1) == "v1");
    CHECK(versionOf(origins, 2) == "unknown");
    origins.record(chat, origin(4, "v1", Start + 10s), Start + 2s);
    CHECK(versionOf(origins, 3) == "unknown");
    CHECK(sortedCalls(origins.takeUnsent(Start + 2s)) == Calls{1, 4});
    CHECK(origins.size() == 4);
}
