#include "turmericplank/gateway/placementdocument.hpp"

#include <algorithm>

namespace turmericplank::gateway {

namespace {

constexpr double MovePrice = 0.75; ///< cost of a load, relative to the value of an average request
constexpr std::uint32_t SpreadZones = 1; ///< two zones would require an additional load for every rarely used model

} // namespace

std::shared_ptr<const configuration::Document> placementDocument(const routes::EngineSpec &engine)
{
    auto document = std::make_shared<configuration::Document>();
    document->placement.weightLoadsPerSecond = engine.weightLoadsPerSecond;
    document->placement.movePrice = MovePrice;
    document->placement.spreadZones = SpreadZones;
    for (const auto &it : engine.models) {
        configuration::Model model;
        model.name = it.name;
        model.memoryMib = it.memoryMb;
        document->models.emplace(it.name, model);
        for (std::uint32_t n = 1; n <= it.adapters; ++n) {
            const base::AdapterName name(it.name.text() + "/a" + std::to_string(n));
            document->adapters.emplace(name, configuration::Adapter{name, it.name, it.adapterMemoryMb});
        }
    }
    return document;
}

} // namespace turmericplank::gateway
