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

TEST_CASE("a refused content is tried again, once at a time and ever more seldom, whoever tries it")
{
    CrashHistoryOptions options;
    options.trialDelay = 4s;
    options.trialDelayFactor = 5;
    CrashHistory history(options);
    CrashHistory next(options);
    CHECK_FALSE(history.beginTrial({crashing}, TrialKind::Single, Now));
    for (const auto *endpoint : {"a", "b", "c"}) {
        history.recordLoss(crashing, loss(endpoint), Now);
    }
    CHECK_FALSE(history.beginTrial({crashing}, TrialKind::Single, Now + 3s));
    CHECK(history.beginTrial({crashing}, TrialKind::Single, Now + 4s));
    CHECK_FALSE(history.beginTrial({crashing}, TrialKind::Single, Now + 5s));
    history.recordLoss(crashing, loss("d"), Now + 5s);
    next.merge(history.takeChanged(), Now + 5s);
    CHECK_FALSE(next.beginTrial({crashing}, TrialKind::Single, Now + 24s));
    CHECK(next.beginTrial({crashing}, TrialKind::Single, Now + 25s));
    CHECK_FALSE(next.beginTrial({crashing}, TrialKind::Single, Now + 124s));
    CHECK(next.beginTrial({crashing}, TrialKind::Single, Now + 125s));
    CHECK(next.isRefused(crashing, Now + 125s));
    next.recordAnswer(crashing, Now + 126s);
    CHECK_FALSE(next.isRefused(crashing, Now + 126s));
}

TEST_CASE("several refused contents are tried together some time after a trial was due for each of them")
{
    CrashHistoryOptions options;
    options.trialDelay = 4s;
    options.trialDelayFactor = 5;
    CrashHistory history(options);
    for (const auto *endpoint : {"a", "b", "c"}) {
        history.recordLoss(crashing, loss(endpoint), Now);
        history.recordLoss(sound, loss(endpoint), Now + 1s);
    }
    CHECK_FALSE(history.beginTrial({}, TrialKind::Combined, Now + 9s));
    CHECK_FALSE(history.beginTrial({crashing, sound}, TrialKind::Single, Now + 4s));
    CHECK_FALSE(history.beginTrial({crashing, sound}, TrialKind::Combined, Now + 5999ms));
    CHECK(history.find(crashing).trials == 0);
    CHECK(history.beginTrial({crashing, sound}, TrialKind::Combined, Now + 6s));
    CHECK_FALSE(history.beginTrial({crashing}, TrialKind::Single, Now + 25s));
    CHECK_FALSE(history.beginTrial({sound}, TrialKind::Single, Now + 25s));
    CHECK(history.beginTrial({crashing}, TrialKind::Single, Now + 26s));
}

TEST_CASE("a shared content that was answered lately is not refused for endpoints that are lost at once, only if the losses go on")
{
    CrashHistoryOptions options;
    options.provenLossLimit = 6;
    options.provenLossTime = 10s;
    CrashHistory history(options);
    history.recordSharedAnswer(sound, Now);
    for (std::uint64_t n = 0; n < 12; ++n) {
        history.recordLoss(sound, loss("a", n), Now + 1s);
    }
    CHECK_FALSE(history.isRefused(sound, Now + 1s));
    history.recordLoss(sound, loss("b"), Now + 11s);
    CHECK(history.isRefused(sound, Now + 11s));
    history.recordSharedAnswer(sound, Now + 12s);
    CHECK_FALSE(history.isRefused(sound, Now + 12s));
}

TEST_CASE("a daemon that has seen a shared content answered tells the others that it is proven")
{
    CrashHistory one;
    CrashHistory other;
    other.recordSharedAnswer(sound, Now);
    for (const auto *endpoint : {"a", "b", "c"}) {
        one.recordLoss(sound, loss(endpoint), Now);
    }
    CHECK(one.isRefused(sound, Now));
    other.merge(one.takeChanged(), Now);
    CHECK_FALSE(other.isRefused(sound, Now));
    one.merge(other.takeChanged(), Now);
    CHECK_FALSE(one.isRefused(sound, Now));
}

TEST_CASE("losses with an endpoint that answers a call sent later, on a connection opened earlier, don't count, also at other daemons")
{
    CrashHistory one;
    CrashHistory other;
    for (const auto *endpoint : {"a", "b", "c"}) {
        one.recordLoss(sound, loss(endpoint), Now);
        one.recordLoss(crashing, loss(endpoint), Now);
    }
    other.merge(one.takeChanged(), Now + 10ms);
    other.recordSignOfLife({loss("d"), Now - 1s, Now + 20ms}, Now + 30ms);
    CHECK(other.isRefused(sound, Now + 30ms));
    other.recordSignOfLife({loss("a"), Now - 1s, Now + 20ms}, Now + 30ms);
    CHECK(other.lossCount(sound, Now + 30ms) == 2);
    CHECK(other.lossCount(crashing, Now + 30ms) == 2);
    one.merge(other.takeChanged(), Now + 40ms);
    CHECK_FALSE(one.isRefused(sound, Now + 40ms));
}

TEST_CASE("answers that may come from before the crash or from the next incarnation don't show that an endpoint was not lost")
{
    CrashHistoryOptions options;
    options.inFlightTime = 1s;
    CrashHistory history(options);
    history.recordLoss(crashing, loss("a"), Now);
    history.recordSignOfLife({loss("a"), Now - 1s, Now - 10ms}, Now + 999ms);
    CHECK(history.lossCount(crashing, Now + 999ms) == 1);
    history.recordSignOfLife({loss("a"), Now + 10ms, Now + 20ms}, Now + 2s);
    CHECK(history.lossCount(crashing, Now + 2s) == 1);
    history.recordSignOfLife({loss("a", 2), Now - 1s, Now + 20ms}, Now + 2s);
    CHECK(history.lossCount(crashing, Now + 2s) == 1);
    // The endpoint answered after one loss and crashed after that.
    history.recordLoss(sound, loss("a"), Now + 3s);
    history.recordSignOfLife({loss("a"), Now - 1s, Now + 2500ms}, Now + 3001ms);
    CHECK(history.lossCount(sound, Now + 3001ms) == 1);
    history.recordSignOfLife({loss("a"), Now - 1s, Now - 10ms}, Now + 4s);
    CHECK(history.lossCount(sound, Now + 4s) == 0);
    CHECK(history.lossCount(crashing, Now + 4s) == 0);
}

TEST_CASE("an endpoint that reports no incarnation may have been replaced when it answers")
{
    CrashHistory history;
    history.recordLoss(crashing, loss("a", 0), Now);
    history.recordSignOfLife({loss("a", 0), Now - 1s, Now + 10ms}, Now + 2s);
    CHECK(history.lossCount(crashing, Now + 2s) == 1);
}

TEST_CASE("losses that turn out not to count don't delay the next trial")
{
    CrashHistoryOptions options;
    options.trialDelay = 4s;
    CrashHistory history(options);
    for (const auto *endpoint : {"a", "b", "c", "d"}) {
        history.recordLoss(crashing, loss(endpoint), Now);
    }
    history.recordSignOfLife({loss("a"), Now - 1s, Now + 10ms}, Now + 3s);
    CHECK(history.isRefused(crashing, Now + 3s));
    CHECK(history.beginTrial({crashing}, TrialKind::Single, Now + 4s));
}

TEST_CASE("what was answered long ago is not proven any longer")
{
    CrashHistoryOptions options;
    options.lifetime = 60s;
    CrashHistory history(options);
    history.recordSharedAnswer(sound, Now);
    history.recordSharedAnswer(crashing, Now + 50s);
    for (const auto *endpoint : {"a", "b", "c"}) {
        history.recordLoss(sound, loss(endpoint), Now + 95s);
        history.recordLoss(crashing, loss(endpoint), Now + 95s);
    }
    CHECK(history.isRefused(sound, Now + 95s));
    CHECK_FALSE(history.isRefused(crashing, Now + 95s));
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

TEST_CASE("refused contents are kept although many others change later")
{
    CrashHistoryOptions options;
    options.maxContents = 100;
    options.maxKeptRefused = 2;
    CrashHistory history(options);
    const auto refuse = [&](Fingerprint content, base::Time now) {
        for (const auto *endpoint : {"a", "b", "c"}) {
            history.recordLoss(content, loss(endpoint), now);
        }
    };
    refuse(crashing, Now);
    refuse(Fingerprint(10), Now + 1ms);
    for (std::uint64_t n = 1000; n < 1500; ++n) {
        history.recordLoss(Fingerprint(n), loss("d"), Now + 2ms);
    }
    CHECK(history.all().size() == 100);
    CHECK(history.isRefused(crashing, Now + 2ms));
    CHECK(history.isRefused(Fingerprint(10), Now + 2ms));
    // Their number is limited; the oldest goes first.
    refuse(Fingerprint(11), Now + 3ms);
    for (std::uint64_t n = 2000; n < 2500; ++n) {
        history.recordLoss(Fingerprint(n), loss("d"), Now + 4ms);
    }
    CHECK(history.all().size() == 100);
    CHECK_FALSE(history.isRefused(crashing, Now + 4ms));
    CHECK(history.isRefused(Fingerprint(10), Now + 4ms));
    CHECK(history.isRefused(Fingerprint(11), Now + 4ms));
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
