#include "turmericplank/requests/crashhistory.hpp"

#include <algorithm>
#include <random>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::requests;
using namespace std::chrono_literals;

namespace {

constexpr auto Now = base::timeFromMilliseconds(1'000'000);
const Fingerprint crashing(7);
const Fingerprint sound(8);

EndpointLoss loss(const char *endpoint, std::uint64_t incarnation = 1)
{
    return {base::EndpointId(endpoint), base::Incarnation(incarnation)};
}

/// What is known, in an order that does not depend on the history.
std::vector<ContentLosses> sorted(const CrashHistory &history)
{
    auto contents = history.all();
    std::ranges::sort(contents, {}, &ContentLosses::content);
    return contents;
}

} // namespace

TEST_CASE("a content is refused once three endpoints were lost with it")
{
    CrashHistory history;
    history.recordLoss(crashing, loss("a"), Now);
    history.recordLoss(crashing, loss("b"), Now);
    CHECK_FALSE(history.isRefused(crashing, Now));
    history.recordLoss(crashing, loss("c"), Now);
    CHECK(history.isRefused(crashing, Now));
    CHECK_FALSE(history.isRefused(sound, Now));
}

TEST_CASE("several calls that are lost with one endpoint are one loss, and an endpoint that restarts and is lost again is another")
{
    CrashHistory history;
    for (int n = 0; n < 5; ++n) {
        history.recordLoss(crashing, loss("a"), Now);
    }
    CHECK(history.lossCount(crashing, Now) == 1);
    history.recordLoss(crashing, loss("a", 2), Now);
    CHECK(history.lossCount(crashing, Now) == 2);
}

TEST_CASE("an answer clears a content, also at other daemons, whatever is heard first")
{
    CrashHistory one;
    CrashHistory other;
    for (const auto *endpoint : {"a", "b", "c"}) {
        one.recordLoss(sound, loss(endpoint), Now);
    }
    const auto before = one.takeChanged();
    one.recordAnswer(sound, Now);
    const auto after = one.takeChanged();
    other.merge(after, Now);
    other.merge(before, Now);
    CHECK_FALSE(one.isRefused(sound, Now));
    CHECK(other.lossCount(sound, Now) == 0);
    other.recordLoss(sound, loss("d"), Now);
    CHECK(other.lossCount(sound, Now) == 1);
}

TEST_CASE("losses that daemons tell each other add up")
{
    CrashHistory one;
    CrashHistory other;
    one.recordLoss(crashing, loss("a"), Now);
    one.recordLoss(crashing, loss("b"), Now);
    other.recordLoss(crashing, loss("b"), Now);
    other.recordLoss(crashing, loss("c"), Now);
    other.merge(one.takeChanged(), Now);
    CHECK(other.isRefused(crashing, Now));
    CHECK(other.takeChanged().size() == 1); // is passed on
    other.merge(one.all(), Now);
    CHECK(other.takeChanged().empty());
}

TEST_CASE("changes are repeated for some time, and all is forgotten in the end")
{
    CrashHistoryOptions options;
    options.lossLimit = 1;
    options.repeatTime = 5s;
    options.lifetime = 60s;
    CrashHistory history(options);
    history.recordLoss(crashing, loss("a"), Now);
    CHECK(history.recentlyChanged(Now + 4s).size() == 1);
    CHECK(history.recentlyChanged(Now + 5s).empty());
    CHECK(history.isRefused(crashing, Now + 59s));
    CHECK_FALSE(history.isRefused(crashing, Now + 60s));
    history.expire(Now + 60s);
    CHECK(history.all().empty());
}

TEST_CASE("a refused content is tried again, once at a time and ever more seldom while endpoints are lost with it")
{
    CrashHistoryOptions options;
    options.trialDelay = 60s;
    CrashHistory history(options);
    CHECK_FALSE(history.beginTrial(crashing, Now));
    for (const auto *endpoint : {"a", "b", "c"}) {
        history.recordLoss(crashing, loss(endpoint), Now);
    }
    CHECK_FALSE(history.beginTrial(crashing, Now + 59s));
    CHECK(history.beginTrial(crashing, Now + 60s));
    CHECK_FALSE(history.beginTrial(crashing, Now + 61s));
    history.recordLoss(crashing, loss("d"), Now + 62s);
    CHECK_FALSE(history.beginTrial(crashing, Now + 181s));
    CHECK(history.beginTrial(crashing, Now + 182s));
    CHECK(history.isRefused(crashing, Now + 182s));
    history.recordAnswer(crashing, Now + 183s);
    CHECK_FALSE(history.isRefused(crashing, Now + 183s));
}

TEST_CASE("the number of contents and of losses of one content is bounded")
{
    CrashHistoryOptions options;
    options.maxContents = 10;
    options.maxLosses = 4;
    CrashHistory history(options);
    for (std::uint64_t n = 0; n < 50; ++n) {
        history.recordLoss(Fingerprint(n), loss("a"), Now + std::chrono::milliseconds(n));
        history.recordLoss(crashing, loss("a", n), Now + 50ms);
    }
    CHECK(history.all().size() == 10);
    CHECK(history.find(crashing).counted.size() == 4);
    CHECK(history.isRefused(crashing, Now + 50ms));
}

TEST_CASE("a content whose losses were all cleared can be refused later")
{
    CrashHistoryOptions options;
    options.maxLosses = 4;
    CrashHistory history(options);
    for (std::uint64_t n = 0; n < 20; ++n) {
        history.recordLoss(crashing, loss("a", n), Now);
        history.recordAnswer(crashing, Now);
    }
    for (const auto *endpoint : {"b", "c", "d"}) {
        history.recordLoss(crashing, loss(endpoint), Now);
    }
    CHECK(history.isRefused(crashing, Now));
}

TEST_CASE("messages in any order, repeated or passed on, lead to the same knowledge")
{
    std::mt19937 random(20261204);
    for (int round = 0; round < 50; ++round) {
        std::vector<CrashHistory> daemons(4);
        std::vector<std::vector<ContentLosses>> messages;
        for (int n = 0; n < 40; ++n) {
            auto &it = daemons[random() % daemons.size()];
            const Fingerprint content(random() % 5);
            if (random() % 4 == 0) {
                it.recordAnswer(content, Now);
            } else {
                it.recordLoss(content, loss("e", random() % 6), Now);
            }
            messages.push_back(it.takeChanged());
        }
        for (auto &it : daemons) {
            std::ranges::shuffle(messages, random);
            for (const auto &message : messages) {
                it.merge(message, Now);
            }
        }
        for (const auto &it : daemons) {
            CHECK(sorted(it) == sorted(daemons.front()));
        }
    }
}
