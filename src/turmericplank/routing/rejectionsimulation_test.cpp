#include "rejectionsimulation.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::routing;
using namespace turmericplank::routing::testing;

namespace {

constexpr std::int64_t RunTime = 15'000; ///< in milliseconds
constexpr std::int64_t GrowthTime = 60'000; ///< for shares to grow after daemons have ended, with a tolerance of one rejection per second
constexpr double MinServedShare = 0.85; ///< of what endpoints without failures can serve, under a load well above that
constexpr int Seeds = 5;

/// The platform's limit for one period in which the endpoints of a service state their tolerance.
std::size_t toleratedFailures(const RejectionSimulationOptions &options)
{
    return 2 + options.endpoints / 10;
}

RejectionSimulationOptions plainService(std::uint64_t seed)
{
    RejectionSimulationOptions options;
    options.seed = seed;
    options.tolerance = static_cast<std::uint32_t>(1 + (seed - 1) % 6);
    options.maxWaiting = static_cast<std::uint32_t>(seed % 3);
    return options;
}

RejectionSimulationOptions engines(std::uint64_t seed)
{
    auto options = plainService(seed);
    options.endpoints = 12;
    options.slots = 32;
    options.load = 2;
    options.workMilliseconds = 1500;
    options.firstTokenShare = 0.1;
    return options;
}

} // namespace

TEST_CASE("endpoints that fail after too many rejections keep running under overload from several daemons")
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        for (const auto &options : {plainService(seed), engines(seed)}) {
            CAPTURE(seed);
            CAPTURE(options.endpoints);
            RejectionSimulation simulation(options);
            simulation.runFor(RunTime);
            CHECK(simulation.failures <= toleratedFailures(options));
            CHECK(simulation.servedShare(RunTime) >= MinServedShare);
        }
    }
}

TEST_CASE("without a limit, rejections under overload make endpoints fail")
{
    auto options = plainService(1);
    options.isLimited = false;
    RejectionSimulation simulation(options);
    simulation.runFor(RunTime);
    CHECK(simulation.failures > toleratedFailures(options));
}

TEST_CASE("daemons without calls leave their slots to the others")
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        auto options = engines(seed);
        options.loadedDaemons = 2;
        options.tolerance = std::max(options.tolerance, 3U);
        CAPTURE(seed);
        RejectionSimulation simulation(options);
        simulation.runFor(RunTime);
        CHECK(simulation.failures <= toleratedFailures(options));
        simulation.served = 0;
        simulation.runFor(RunTime);
        // Each of the others keeps one slot of each endpoint for its next call.
        const auto kept = static_cast<double>(options.daemons - options.loadedDaemons);
        CHECK(simulation.servedShare(RunTime) >= MinServedShare * (1 - kept / options.slots));
    }
}

TEST_CASE("calls that suddenly arrive at daemons without any before make no endpoints fail")
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        for (auto options : {plainService(seed), engines(seed)}) {
            options.loadedDaemons = 2;
            CAPTURE(seed);
            CAPTURE(options.endpoints);
            RejectionSimulation simulation(options);
            simulation.runFor(RunTime);
            simulation.setLoadedDaemons(options.daemons);
            simulation.runFor(RunTime);
            CHECK(simulation.failures <= toleratedFailures(options));
            CHECK(*std::min_element(simulation.servedBy.begin(), simulation.servedBy.begin() + static_cast<std::ptrdiff_t>(options.daemons)) > 0);
        }
    }
}

TEST_CASE("a daemon that ends leaves its slots to the others")
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        for (const auto &options : {plainService(seed), engines(seed)}) {
            CAPTURE(seed);
            CAPTURE(options.endpoints);
            RejectionSimulation simulation(options);
            simulation.runFor(RunTime);
            simulation.end(5);
            simulation.end(6);
            simulation.setLoadedDaemons(5);
            simulation.runFor(GrowthTime / options.tolerance);
            CHECK(simulation.failures <= toleratedFailures(options));
            simulation.served = 0;
            simulation.runFor(RunTime);
            CHECK(simulation.servedShare(RunTime) >= MinServedShare);
        }
    }
}

TEST_CASE("daemons that no longer hear each other make no endpoints fail")
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        for (const auto &options : {plainService(seed), engines(seed)}) {
            CAPTURE(seed);
            CAPTURE(options.endpoints);
            CAPTURE(options.tolerance);
            RejectionSimulation simulation(options);
            simulation.runFor(RunTime);
            simulation.cutFromPeers(0);
            simulation.cutFromPeers(1);
            simulation.runFor(RunTime);
            CHECK(simulation.failures <= toleratedFailures(options));
        }
    }
}

TEST_CASE("a daemon that joins gets slots from the others without making endpoints fail")
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        for (auto options : {plainService(seed), engines(seed)}) {
            options.loadedDaemons = options.daemons + 1;
            CAPTURE(seed);
            CAPTURE(options.endpoints);
            RejectionSimulation simulation(options);
            simulation.runFor(RunTime);
            simulation.join();
            simulation.runFor(RunTime);
            CHECK(simulation.failures <= toleratedFailures(options));
            CHECK(simulation.servedBy[options.daemons] > 0);
        }
    }
}
