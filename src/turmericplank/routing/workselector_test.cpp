#include "turmericplank/routing/workselector.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::routing;

namespace {

base::Time at(std::int64_t seconds)
{
    return base::Time(std::chrono::seconds(1'000'000 + seconds));
}

EndpointWork work(const std::string &endpoint, std::uint32_t streams)
{
    return {base::EndpointId(endpoint), streams, 0, 0, 0, 0};
}

} // namespace

TEST_CASE("what changed most is told first, within the limit")
{
    WorkSelector digest;
    CHECK((digest.select({work("a", 1), work("b", 9), work("c", 5)}, 2, at(0)) == std::vector{work("b", 9), work("c", 5)}));
    CHECK((digest.select({work("a", 1), work("b", 9), work("c", 5)}, 2, at(1)) == std::vector{work("a", 1)}));
}

TEST_CASE("what did not change is told again in time, and no endpoint is left out for good")
{
    WorkSelector digest;
    std::vector<EndpointWork> own;
    for (int n = 0; n < 30; ++n) {
        own.push_back(work("e-" + std::to_string(n), 4));
    }
    std::map<base::EndpointId, int> told;
    for (int second = 0; second < 40; ++second) {
        own[0].streams = 4 + 20 * (second % 2);
        for (const auto &it : digest.select(own, 5, at(second))) {
            ++told[it.endpoint];
        }
    }
    CHECK(told.size() == own.size());
    for (const auto &[endpoint, count] : told) {
        CHECK(count >= 3);
    }
}

TEST_CASE("the end of an endpoint's work is told twice, then no more")
{
    WorkSelector digest;
    digest.select({work("a", 3)}, 5, at(0));
    CHECK((digest.select({}, 5, at(1)) == std::vector{work("a", 0)}));
    CHECK((digest.select({}, 5, at(5)) == std::vector{work("a", 0)}));
    CHECK(digest.select({}, 5, at(60)).empty());
}
