#include "turmericplank/gateway/contactshares.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;

TEST_CASE("daemons share the connections of a service equally while all of them reach it")
{
    CHECK(connectionShare(100, {9, 0, 9}, true) == 10);
    CHECK(connectionShare(100, {90, 0, 10}, true) == 4);
    CHECK(connectionShare(1, {9, 0, 9}, true) == 4);
}

TEST_CASE("daemons that reach a service get the shares of those that do not, which keep a few connections each")
{
    CHECK(connectionShare(100, {9, 7, 2}, true) == 31);
    CHECK(connectionShare(710, {86, 83, 1}, true) == 102);
    CHECK(connectionShare(100, {90, 80, 2}, true) == 4);
    // All together stay within the limit, also after contact has come back to all of the others.
    for (std::size_t without = 0; without < 86; ++without) {
        const auto with = 86 - without;
        const auto all = with * connectionShare(710, {86, without, 1}, true) + without * connectionShare(710, {86, 0, 1}, false);
        CHECK(all <= 710);
    }
}

TEST_CASE("a daemon that has just regained a service begins with a few connections")
{
    CHECK(connectionShare(710, {86, 20, 1}, false) == 4);
}

TEST_CASE("work that is not reported is estimated from that of daemons that reach the service")
{
    CHECK(unreportedWorkFactor({86, 0, 11}) == doctest::Approx(86.0 / 11));
    CHECK(unreportedWorkFactor({86, 43, 11}) == doctest::Approx(43.0 / 11));
    CHECK(unreportedWorkFactor({86, 85, 1}) == 1);
    CHECK(unreportedWorkFactor({86, 86, 0}) == 1);
    CHECK(unreportedWorkFactor({7, 0, 7}) == 1);
}
