#include "turmericplank/gateway/peercontact.hpp"

#include <algorithm>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::timeFromMilliseconds(1'000'000);
const base::ServiceName service("s");
const base::ServiceName otherService("t");

base::DaemonId daemonId(std::size_t n)
{
    return base::DaemonId("front-region-zone-" + std::to_string(n));
}

/// Statuses of a site, in which the first daemons lack a service.
std::vector<PeerStatus> site(std::size_t daemonCount, std::size_t lostCount)
{
    std::vector<PeerStatus> statuses(daemonCount);
    for (std::size_t n = 0; n < daemonCount; ++n) {
        statuses[n].from = daemonId(n);
        statuses[n].isReady = true;
        if (n < lostCount) {
            statuses[n].unreachableServices = {service};
        }
    }
    return statuses;
}

std::vector<ServiceContact> someContacts()
{
    return {{service, 4, {daemonId(1), daemonId(2)}}, {otherService, 300, {}}};
}

} // namespace

TEST_CASE("encoded contacts decode to the same ones")
{
    CHECK(decodeServiceContacts(encode(someContacts())) == someContacts());
    CHECK(decodeServiceContacts(encode(std::vector<ServiceContact>())) == std::vector<ServiceContact>());
}

TEST_CASE("truncated and malformed contacts are rejected")
{
    const auto bytes = encode(someContacts());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(decodeServiceContacts(bytes.substr(0, n)).has_value());
    }
    for (const auto *it : {"\x01", "\xa1x", "\x91\x01", "\x91\x92\xa1s\x01", "\x91\x93\xa1s\xa1s\x90", "\x91\x93\xa1s\x01\x91\x01"}) {
        CHECK_FALSE(decodeServiceContacts(it).has_value());
    }
}

TEST_CASE("nothing is told while all daemons reach all services")
{
    const auto statuses = site(24, 0);
    CHECK(summarizeContacts(statuses, statuses.front()).empty());
}

TEST_CASE("daemons that reach a service learn only how many do not, and get no targets")
{
    const auto statuses = site(24, 9);
    CHECK(summarizeContacts(statuses, statuses.back()) == std::vector<ServiceContact>{{service, 9, {}}});
}

TEST_CASE("targets are daemons that reach the service, are ready and do not leave")
{
    auto statuses = site(12, 9);
    statuses[9].isReady = false;
    statuses[10].isDraining = true;
    CHECK(summarizeContacts(statuses, statuses.front()) == std::vector<ServiceContact>{{service, 9, {daemonId(11)}}});
    statuses[11].isCutOff = true; // as earlier builds say it
    CHECK(summarizeContacts(statuses, statuses.front()) == std::vector<ServiceContact>{{service, 10, {}}});
}

TEST_CASE("the daemons of a large site without contact spread their calls over all those with contact, and keep their targets")
{
    constexpr std::size_t DaemonCount = 410;
    constexpr std::size_t LostCount = 246;
    const auto statuses = site(DaemonCount, LostCount);
    std::map<base::DaemonId, std::size_t> recipients;
    std::size_t largestMessage = 0;
    for (std::size_t n = 0; n < LostCount; ++n) {
        const auto contacts = summarizeContacts(statuses, statuses[n]);
        CHECK(contacts == summarizeContacts(statuses, statuses[n]));
        largestMessage = std::max(largestMessage, encode(contacts).size());
        for (const auto &it : contacts.front().daemonsWith) {
            ++recipients[it];
        }
    }
    const auto mean = static_cast<double>(LostCount) * 8 / (DaemonCount - LostCount);
    CHECK(recipients.size() == DaemonCount - LostCount);
    CHECK(static_cast<double>(std::ranges::max_element(recipients, {}, [](const auto &it) { return it.second; })->second) < 3 * mean);
    CHECK(largestMessage < 250); // each second and service
    // A few daemons that lose contact as well change only the targets that they were.
    const auto later = summarizeContacts(site(DaemonCount, LostCount + 4), statuses.front()).front().daemonsWith;
    const auto kept = std::ranges::count_if(summarizeContacts(statuses, statuses.front()).front().daemonsWith,
                                            [&](const auto &it) { return std::ranges::find(later, it) != later.end(); });
    CHECK(kept >= 4);
}

TEST_CASE("a summary is out of date after some seconds, a refusal earlier")
{
    PeerContact contact;
    CHECK(contact.daemonsWith(service, Start).empty());
    contact.noteSummary(someContacts(), Start);
    CHECK(contact.daemonsWith(service, Start + 2900ms) == std::set{daemonId(1), daemonId(2)});
    CHECK(contact.daemonsWithout(otherService, Start + 2900ms) == 300);
    CHECK(contact.daemonsWith(service, Start + 3s).empty());
    CHECK(contact.daemonsWithout(otherService, Start + 3s) == 0);
    contact.noteRefusal(daemonId(1), service, Start);
    CHECK(contact.hasRefused(daemonId(1), service, Start + 900ms));
    CHECK_FALSE(contact.hasRefused(daemonId(1), otherService, Start + 900ms));
    CHECK_FALSE(contact.hasRefused(daemonId(1), service, Start + 1s));
    contact.noteSummary({}, Start + 1s);
    CHECK(contact.daemonsWith(service, Start + 1s).empty());
}
