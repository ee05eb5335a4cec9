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

TEST_CASE("the work that changed most is sent first, up to the limit")
{
    WorkSelector selector;
    CHECK((selector.select({work("a", 1), work("b", 9), work("c", 5)}, 2, at(0)) == std::vector{work("b", 9), work("c", 5)}));
    CHECK((selector.select({work("a", 1), work("b", 9), work("c", 5)}, 2, at(1)) == std::vector{work("a", 1)}));
}

TEST_CASE("unchanged work is sent again, and every endpoint is included eventually")
{
    WorkSelector selector;
    std::vector<EndpointWork> own;
    for (int n = 0; n < 30; ++n) {
        own.push_back(work("e-" + std::to_string(n), 4));
    }
    std::map<base::EndpointId, int> announced;
    for (int second = 0; second < 40; ++second) {
        own[0].streams = 4 + 20 * (second % 2);
        for (const auto &it : selector.select(own, 5, at(second))) {
            ++announced[it.endpoint];
        }
    }
    CHECK(announced.size() == own.size());
    for (const auto &[endpoint, count] : announced) {
        CHECK(count >= 3);
    }
}

TEST_CASE("the end of an endpoint's work is sent exactly twice")
{
    WorkSelector selector;
    selector.select({work("a", 3)}, 5, at(0));
    CHECK((selector.select({}, 5, at(1)) == std::vector{work("a", 0)}));
    CHECK((selector.select({}, 5, at(5)) == std::vector{work("a", 0)}));
    CHECK(selector.select({}, 5, at(60)).empty());
}
