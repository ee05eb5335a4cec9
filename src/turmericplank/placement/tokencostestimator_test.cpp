#include "turmericplank/placement/tokencostestimator.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::placement;
using std::chrono::milliseconds;

namespace {

const base::ModelName fastModel("fast");
const base::ModelName slowModel("slow");

void recordStreams(TokenCostEstimator &estimator, const base::ModelName &model, int count, base::Duration gap, base::Time now)
{
    for (int n = 0; n < count; ++n) {
        estimator.recordStream(model, gap, now);
    }
}

} // namespace

TEST_CASE("the relative cost of a model is its smallest gap divided by that of the slowest model")
{
    TokenCostEstimator estimator;
    const auto now = base::timeFromMilliseconds(1000);
    recordStreams(estimator, slowModel, 10, milliseconds(32), now);
    recordStreams(estimator, fastModel, 10, milliseconds(40), now); // on a busy engine
    recordStreams(estimator, fastModel, 1, milliseconds(8), now);
    CHECK(estimator.relativeCost(slowModel) == doctest::Approx(1));
    CHECK(estimator.relativeCost(fastModel) == doctest::Approx(0.25));
}

TEST_CASE("a model with too few streams counts as the slowest")
{
    TokenCostEstimator estimator;
    const auto now = base::timeFromMilliseconds(1000);
    recordStreams(estimator, slowModel, 10, milliseconds(32), now);
    recordStreams(estimator, fastModel, 3, milliseconds(8), now);
    CHECK(estimator.relativeCost(fastModel) == doctest::Approx(1));
    CHECK(estimator.relativeCost(base::ModelName("never seen")) == doctest::Approx(1));
}

TEST_CASE("gaps are forgotten after two windows")
{
    TokenCostEstimator estimator;
    auto now = base::timeFromMilliseconds(1000);
    recordStreams(estimator, slowModel, 10, milliseconds(32), now);
    recordStreams(estimator, fastModel, 10, milliseconds(8), now);
    for (int n = 0; n < 3; ++n) {
        now += std::chrono::seconds(16);
        recordStreams(estimator, slowModel, 10, milliseconds(32), now);
        recordStreams(estimator, fastModel, 10, milliseconds(16), now);
    }
    CHECK(estimator.relativeCost(fastModel) == doctest::Approx(0.5));
}
