#include "loadplan.hpp"

#include <map>
#include <set>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::cli;

namespace {

constexpr int Calls = 10000;

LoadPlanOptions mix()
{
    LoadPlanOptions options;
    options.callsPerSecond = 100;
    options.models = {{"a", 3}, {"b", 1}};
    options.bookingShare = 0.2;
    options.lookupShare = 0.1;
    options.seed = 7;
    return options;
}

} // namespace

TEST_CASE("the same seed reproduces the calls, and another seed changes them")
{
    auto options = mix();
    LoadPlan first(options);
    LoadPlan again(options);
    options.seed = 8;
    LoadPlan other(options);
    const auto call = first.next();
    CHECK(call == again.next());
    CHECK(call.question != other.next().question);
}

TEST_CASE("the rate and the mix match the options")
{
    LoadPlan plan(mix());
    std::map<CallKind, int> kinds;
    std::map<std::string, int> models;
    std::set<std::string> ids;
    PlannedCall call;
    for (int n = 0; n < Calls; ++n) {
        call = plan.next();
        ++kinds[call.kind];
        ++models[call.model];
        ids.insert(call.id);
    }
    CHECK(ids.size() == Calls);
    CHECK(base::inMilliseconds(call.startOffset) == doctest::Approx(100000).epsilon(0.05));
    CHECK(kinds[CallKind::Booking] == doctest::Approx(2000).epsilon(0.1));
    CHECK(kinds[CallKind::Lookup] == doctest::Approx(1000).epsilon(0.1));
    CHECK(models["a"] == doctest::Approx(5250).epsilon(0.1));
}
