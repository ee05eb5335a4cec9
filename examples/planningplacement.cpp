// Plans the first moves of a site with two endpoints and two models, without any demand yet.
#include <iostream>

#include "turmericplank/placement/planner.hpp"

using namespace turmericplank;

namespace {

placement::EngineSnapshot emptyEndpoint(const char *id, const char *zone)
{
    placement::EngineSnapshot it;
    it.id = base::EndpointId(id);
    it.zone = base::ZoneName(zone);
    it.capacityMib = 16000;
    it.concurrency = 16;
    it.role = "serve";
    it.acceptsOrders = true;
    return it;
}

} // namespace

int main()
{
    const auto document = std::make_shared<configuration::Document>();
    for (const auto *name : {"advisor", "triage"}) {
        configuration::Model model;
        model.name = base::ModelName(name);
        model.version = "1";
        model.memoryMib = 6000;
        document->models.emplace(model.name, model);
    }
    placement::PlanInput input;
    input.document = document;
    input.endpoints = {emptyEndpoint("engine-1", "tx/a"), emptyEndpoint("engine-2", "tx/b")};
    input.loadsAllowed = 6;
    const auto moves = placement::plan(input, {});
    for (const auto &it : moves) {
        std::cout << toString(it.kind) << ' ' << it.resident.model << " on " << it.endpoint << ", reason: " << toString(it.reason) << '\n';
    }
    return moves.empty() ? 1 : 0;
}
