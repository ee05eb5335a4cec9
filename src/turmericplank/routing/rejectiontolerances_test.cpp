#include "turmericplank/routing/rejectiontolerances.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::routing;
using namespace std::chrono_literals;

namespace {

const base::ServiceName service{"s"};

base::Time at(base::Duration time)
{
    return base::timeFromMilliseconds(1'000'000) + time;
}

} // namespace

TEST_CASE("a stated tolerance holds until some time after the last answer that states it")
{
    RejectionTolerances tolerances;
    CHECK_FALSE(tolerances.find(service, at(0s)));
    tolerances.noteAnswer(service, 4, at(0s));
    tolerances.noteAnswer(service, 3, at(5s));
    CHECK(tolerances.find(service, at(14s)) == 3);
    CHECK(tolerances.all(at(14s)) == std::map<base::ServiceName, std::uint32_t>{{service, 3}});
    CHECK_FALSE(tolerances.find(service, at(15s)));
    CHECK(tolerances.all(at(15s)).empty());
    CHECK_FALSE(tolerances.find(base::ServiceName("other"), at(6s)));
}

TEST_CASE("answers without a statement end a tolerance, but not those that overlap with the last statement")
{
    RejectionTolerances tolerances;
    tolerances.noteAnswer(service, std::nullopt, at(0s));
    tolerances.noteAnswer(service, 4, at(1s));
    tolerances.noteAnswer(service, std::nullopt, at(2s));
    CHECK(tolerances.find(service, at(2s)) == 4);
    tolerances.noteAnswer(service, std::nullopt, at(3s));
    CHECK_FALSE(tolerances.find(service, at(3s)));
    tolerances.noteAnswer(service, 5, at(4s));
    CHECK(tolerances.find(service, at(4s)) == 5);
}

TEST_CASE("a daemon without answers learns a tolerance from others and does not pass it on")
{
    RejectionTolerances first;
    RejectionTolerances second;
    first.noteAnswer(service, 4, at(0s));
    for (const auto &it : first.ownStatements(at(1s))) {
        second.notePeer(it);
    }
    CHECK(second.find(service, at(1s)) == 4);
    CHECK(second.ownStatements(at(1s)).empty());
    second.notePeer({service, 9, at(-1s)});
    CHECK(second.find(service, at(1s)) == 4);
    CHECK_FALSE(second.find(service, at(10s)));
    CHECK(first.ownStatements(at(10s)).empty());
}
