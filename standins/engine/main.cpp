#include <cstdio>
#include <map>

#include <CLI/CLI.hpp>

#include "engine/engine.hpp"

namespace {

constexpr std::uint32_t PreloadedMib = 1024; // memory of a model given without a size

bool preload(turmericplank::standins::engine::Engine &engine, const std::vector<std::string> &models)
{
    for (const auto &it : models) {
        const auto colon = it.find(':');
        const auto memoryMib = colon == std::string::npos ? PreloadedMib : static_cast<std::uint32_t>(std::stoul(it.substr(colon + 1)));
        if (!engine.preload(it.substr(0, colon), memoryMib)) {
            std::fprintf(stderr, "--resident: %s does not fit into the accelerator memory\n", it.c_str());
            return false;
        }
    }
    return true;
}

bool preloadAdapters(turmericplank::standins::engine::Engine &engine, const std::vector<std::string> &adapters)
{
    for (const auto &it : adapters) {
        const auto colon = it.find(':');
        if (colon == std::string::npos || !engine.preloadAdapter(it.substr(0, colon), it.substr(colon + 1))) {
            std::fprintf(stderr, "--adapter: expected ADAPTER:MODEL with a resident model, not %s\n", it.c_str());
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace turmericplank;
    using namespace turmericplank::standins;
    CLI::App app("Stand-in for a model engine: batches streams, caches prefixes and executes orders.");
    Program program(app);
    engine::EngineOptions options;
    std::string weights;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    app.add_option("--first-token-ms", options.firstTokenMilliseconds, "time to the first token of a prompt that is not cached");
    app.add_option("--token-ms", options.tokenMilliseconds, "time between two tokens");
    app.add_option("--concurrency", options.concurrency, "number of streams that run at the same time");
    app.add_option("--waiting-limit", options.waitingLimit, "number of waiting streams above which requests are rejected");
    app.add_option("--memory-mib", options.memoryMib, "accelerator memory");
    app.add_flag("--checks-fencing", options.checksFencing, "reject orders with an outdated term");
    app.add_option("--load-lag-ms", options.loadLagMilliseconds, "maximum age of the load report");
    app.add_option("--event-lag-ms", options.eventLagMilliseconds, "delay before cache events are published");
    app.add_option("--cache-blocks", options.cacheBlocks, "prefix blocks that fit into the cache");
    app.add_option("--load-seconds-per-model", options.loadSecondsPerModel, "time of a model load in addition to the time taken by the weight store");
    app.add_option("--adapter-ms", options.adapterMilliseconds, "time of an adapter load without a weight store");
    app.add_option("--keep-finished-ms", options.keepFinishedMilliseconds, "how long finished streams can be resumed");
    app.add_option("--leaving-grace-ms", options.leavingGraceMilliseconds, "time from reporting `leaving` to rejecting requests");
    app.add_option("--weights", weights, "IP:PORT of the platform's weight store");
    app.add_option("--resident", models, "MODEL[:MIB] that is resident at startup");
    app.add_option("--adapter", adapters, "ADAPTER:MODEL that is resident at startup");
    CLI11_PARSE(app, argc, argv);
    if (!weights.empty()) {
        const auto address = base::parseAddress(weights);
        if (!address) {
            std::fprintf(stderr, "--weights: expected IP:PORT, not %s\n", weights.c_str());
            return 2;
        }
        options.weights = *address;
    }
    engine::Engine engine(program, options);
    if (!preload(engine, models) || !preloadAdapters(engine, adapters)) {
        return 2;
    }
    return program.serve([&engine](const net::ExchangePointer &exchange) { engine.handle(exchange); });
}
