#include "turmericplank/placement/tokencostestimator.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::placement;
using std::chrono::milliseconds;

namespace {

const base::ModelName fast("fast");
const base::ModelName slow("slow");

void noteStreams(TokenCostEstimator &pace, const base::ModelName &model, int count, base::Duration gap, base::Time now)
{
    for (int n = 0; n < count; ++n) {
        pace.recordStream(model, gap, now);
    }
}

} // namespace

TEST_CASE("the pace of a model is its least gap against the slowest model's")
{
    TokenCostEstimator pace;
    const auto now = base::timeFromMilliseconds(1000);
    noteStreams(pace, slow, 10, milliseconds(32), now);
    noteStreams(pace, fast, 10, milliseconds(40), now); // while its engine is busy
    noteStreams(pace, fast, 1, milliseconds(8), now);
    CHECK(pace.relativeCost(slow) == doctest::Approx(1));
    CHECK(pace.relativeCost(fast) == doctest::Approx(0.25));
}

TEST_CASE("a model that too little is known of counts as the slowest")
{
    TokenCostEstimator pace;
    const auto now = base::timeFromMilliseconds(1000);
    noteStreams(pace, slow, 10, milliseconds(32), now);
    noteStreams(pace, fast, 3, milliseconds(8), now);
    CHECK(pace.relativeCost(fast) == doctest::Approx(1));
    CHECK(pace.relativeCost(base::ModelName("never seen")) == doctest::Approx(1));
}

TEST_CASE("gaps are forgotten after two windows")
{
    TokenCostEstimator pace;
    auto now = base::timeFromMilliseconds(1000);
    noteStreams(pace, slow, 10, milliseconds(32), now);
    noteStreams(pace, fast, 10, milliseconds(8), now);
    for (int n = 0; n < 3; ++n) {
        now += std::chrono::seconds(16);
        noteStreams(pace, slow, 10, milliseconds(32), now);
        noteStreams(pace, fast, 10, milliseconds(16), now);
    }
    CHECK(pace.relativeCost(fast) == doctest::Approx(0.5));
}
