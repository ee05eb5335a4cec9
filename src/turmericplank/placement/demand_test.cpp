#include "turmericplank/placement/demand.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::placement;

namespace {

const base::ModelName model("m");
const base::DaemonId reportingDaemon("d");
constexpr std::uint64_t RequestMilliseconds = 100;
constexpr std::uint64_t RequestsPerSecond = 50;

DemandCounters countersFor(std::uint64_t requests)
{
    DemandCounters counters;
    counters.models[model] = {requests, requests * RequestMilliseconds};
    return counters;
}

/// Reports a constant rate every 400 ms and advances every 200 ms.
base::Time reportConstantRate(DemandEstimator &estimator, base::Time from, base::Duration length, std::uint64_t &requests)
{
    constexpr auto Step = std::chrono::milliseconds(200);
    auto now = from;
    for (int n = 0; now < from + length; ++n) {
        now += Step;
        estimator.advance(now);
        if (n % 2 == 1) {
            requests += RequestsPerSecond * 2 / 5;
            estimator.report(reportingDaemon, countersFor(requests), now);
        }
    }
    return now;
}

} // namespace

TEST_CASE("the estimate of a constant rate converges to that rate")
{
    DemandEstimator estimator({std::chrono::milliseconds(1500), std::chrono::seconds(4), std::chrono::seconds(4), std::chrono::seconds(2), 0.05});
    std::uint64_t requests = 0;
    estimator.report(reportingDaemon, countersFor(0), base::timeFromMilliseconds(1000));
    reportConstantRate(estimator, base::timeFromMilliseconds(1000), std::chrono::seconds(30), requests);
    const auto demand = estimator.estimate().models.at(model);
    CHECK(demand.requestsPerSecond == doctest::Approx(RequestsPerSecond).epsilon(0.1));
    CHECK(demand.streams == doctest::Approx(5.0).epsilon(0.1));
}

/// Guards against a burst in the estimate after a takeover: a new lease holder without reports for 16 s then receives all requests
/// counted meanwhile in one report.
TEST_CASE("a report after a pause is averaged over the pause and not taken for a burst")
{
    DemandEstimator estimator({std::chrono::milliseconds(1500), std::chrono::seconds(4), std::chrono::seconds(4), std::chrono::seconds(2), 0.05});
    const auto start = base::timeFromMilliseconds(1000);
    const auto end = start + std::chrono::seconds(16);
    estimator.report(reportingDaemon, countersFor(0), start);
    for (auto now = start; now < end; now += std::chrono::milliseconds(250)) {
        estimator.advance(now);
    }
    std::uint64_t requests = RequestsPerSecond * 16;
    estimator.advance(end);
    estimator.report(reportingDaemon, countersFor(requests), end);
    CHECK(estimator.estimate().models.at(model).requestsPerSecond == doctest::Approx(RequestsPerSecond).epsilon(0.1));
    reportConstantRate(estimator, end, std::chrono::seconds(2), requests);
    CHECK(estimator.estimate().models.at(model).requestsPerSecond == doctest::Approx(RequestsPerSecond).epsilon(0.1));
}
