#include <CLI/CLI.hpp>

#include "platform/handlers.hpp"

int main(int argc, char **argv)
{
    using namespace turmericplank::standins;
    CLI::App app("Stand-in for the platform: transactional table, object store, list of VMs and weight store.");
    Program program(app);
    platform::PlatformOptions options;
    std::int64_t adapterMilliseconds = 6;
    app.add_option("--latency-ms", options.latencyMilliseconds, "duration of a table or object store call");
    app.add_option("--vms-lag-ms", options.vmListLagMilliseconds, "delay until readers see a change to the list of VMs");
    app.add_option("--writes-per-second", options.writesPerSecond, "maximum rate of table and object store writes, 0 for no limit");
    app.add_option("--reads-per-second", options.readsPerSecond, "maximum rate of table and object store reads, 0 for no limit");
    app.add_option("--weight-loads-per-second", options.weights.loadsPerSecond, "maximum number of model loads that start per second");
    app.add_option("--weight-loads-at-full-speed", options.weights.loadsAtFullSpeed, "number of concurrent model loads above which each slows down");
    app.add_option("--weight-mib-per-second", options.weights.mebibytesPerSecond, "speed of a model load that is not slowed down");
    app.add_option("--adapter-loads-in-flight", options.weights.adapterLoadsInFlight, "number of concurrent adapter loads above which each slows down");
    app.add_option("--adapter-ms", adapterMilliseconds, "duration of an adapter load that is not slowed down");
    CLI11_PARSE(app, argc, argv);
    options.weights.adapterLoad = std::chrono::milliseconds(adapterMilliseconds);
    platform::Platform platform(program, options);
    return program.serve([&platform](const turmericplank::net::ExchangePointer &exchange) { platform.handle(exchange); });
}
