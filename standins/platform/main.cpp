#include <CLI/CLI.hpp>

#include "platform/handlers.hpp"

int main(int argc, char **argv)
{
    using namespace turmericplank::standins;
    CLI::App app("Stand-in of the platform: transactional table, object store, list of VMs and weight store.");
    Program program(app);
    platform::PlatformOptions options;
    std::int64_t adapterMilliseconds = 6;
    app.add_option("--latency-ms", options.latencyMilliseconds, "time that a table or object call takes");
    app.add_option("--vms-lag-ms", options.vmListLagMilliseconds, "time until a change of the list of VMs is seen");
    app.add_option("--writes-per-second", options.writesPerSecond, "writes of the table and the object store, 0 for no limit");
    app.add_option("--reads-per-second", options.readsPerSecond, "reads of the table and the object store, 0 for no limit");
    app.add_option("--weight-loads-per-second", options.weights.loadsPerSecond, "model loads that may start in a second");
    app.add_option("--weight-loads-at-full-speed", options.weights.loadsAtFullSpeed, "model loads at once before each slows down");
    app.add_option("--weight-mib-per-second", options.weights.mebibytesPerSecond, "speed of one model load");
    app.add_option("--adapter-loads-in-flight", options.weights.adapterLoadsInFlight, "adapter loads at once before each slows down");
    app.add_option("--adapter-ms", adapterMilliseconds, "time of one adapter load below that");
    CLI11_PARSE(app, argc, argv);
    options.weights.adapterLoad = std::chrono::milliseconds(adapterMilliseconds);
    platform::Platform platform(program, options);
    return program.serve([&platform](const turmericplank::net::ExchangePointer &exchange) { platform.handle(exchange); });
}
