#include "turmericplank/requests/lossreview.hpp"

#include <map>
#include <set>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::requests;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::timeFromMilliseconds(1'000'000);

ContentLoss lossOf(const char *endpoint)
{
    return {Fingerprint(7), {base::EndpointId(endpoint), base::Incarnation(1)}};
}

/// A review whose sources are set by a test.
struct Reviewed
{
    std::map<base::EndpointId, LossCause> causes;
    std::set<base::EndpointId> ended;
    std::set<base::EndpointId> doubted;
    LossReview review{{[this](const base::EndpointId &it, base::Time) { return causes.contains(it) ? causes.at(it) : LossCause::Undecided; },
                       [this](const EndpointLoss &it) { return ended.contains(it.endpoint); },
                       [this](const base::EndpointId &it) {
                           doubted.insert(it);
                       }}};
};

} // namespace

TEST_CASE("a loss is confirmed after a moment if other endpoints are reached")
{
    Reviewed it;
    it.causes[base::EndpointId("a")] = LossCause::Endpoint;
    it.review.add(lossOf("a"), Start);
    CHECK(it.review.takeConfirmed(Start + 100ms).empty());
    CHECK(it.review.takeConfirmed(Start + 150ms) == std::vector{lossOf("a")});
    CHECK(it.review.takeConfirmed(Start + 200ms).empty());
    CHECK(it.doubted.empty());
}

TEST_CASE("losses with the contact to a service are dismissed, also if the contact comes back")
{
    Reviewed it;
    it.causes[base::EndpointId("a")] = LossCause::Contact;
    it.review.add(lossOf("a"), Start);
    CHECK(it.review.takeConfirmed(Start + 200ms).empty());
    it.causes[base::EndpointId("a")] = LossCause::Endpoint;
    CHECK(it.review.takeConfirmed(Start + 3900ms).empty());
    CHECK(it.review.takeDismissedCount() == 0);
    CHECK(it.review.takeConfirmed(Start + 4s).empty());
    CHECK(it.review.takeDismissedCount() == 1);
    CHECK(it.review.takeDismissedCount() == 0);
    it.ended.insert(base::EndpointId("a"));
    CHECK(it.review.takeConfirmed(Start + 5s).empty());
}

TEST_CASE("losses of endpoints that crash together are confirmed once the endpoints are listed as gone")
{
    Reviewed it;
    for (const auto *name : {"a", "b", "c"}) {
        it.causes[base::EndpointId(name)] = LossCause::Contact;
        it.review.add(lossOf(name), Start);
    }
    CHECK(it.review.takeConfirmed(Start + 200ms).empty());
    it.ended = {base::EndpointId("a"), base::EndpointId("c")};
    CHECK(it.review.takeConfirmed(Start + 2s) == std::vector{lossOf("a"), lossOf("c")});
    CHECK(it.review.takeConfirmed(Start + 4s).empty());
    CHECK(it.review.takeDismissedCount() == 1);
}

TEST_CASE("a loss without a known cause is looked into, and confirmed if that does not show one")
{
    Reviewed it;
    it.review.add(lossOf("a"), Start);
    CHECK(it.review.takeConfirmed(Start + 150ms).empty());
    CHECK(it.doubted == std::set{base::EndpointId("a")});
    CHECK(it.review.takeConfirmed(Start + 950ms).empty());
    CHECK(it.review.takeConfirmed(Start + 1s) == std::vector{lossOf("a")});
}
