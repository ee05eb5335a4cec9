#include "turmericplank/configuration/validation.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "turmericplank/configuration/reader.hpp"

using namespace turmericplank;
using namespace turmericplank::configuration;

namespace {

void addModel(Document &document, const std::string &name, std::uint32_t memoryMib, std::uint32_t replicas = 1)
{
    document.models[base::ModelName(name)] = {.name = base::ModelName(name), .version = "1", .memoryMib = memoryMib, .minimumReplicas = replicas};
}

void addAdapter(Document &document, const std::string &name, const std::string &model, std::uint32_t memoryMib)
{
    document.adapters[base::AdapterName(name)] = {base::AdapterName(name), base::ModelName(model), memoryMib};
}

void addEndpoint(Document &document, const std::string &id, std::uint16_t port, std::uint32_t memoryMib)
{
    document.endpoints[base::EndpointId(id)] = {
        .id = base::EndpointId(id), .address = {"10.0.0.1", port}, .zone = base::ZoneName("r/a"), .memoryMib = memoryMib};
}

Document twoEndpoints()
{
    Document document;
    document.site = "s";
    addEndpoint(document, "e-1", 1, 100);
    addEndpoint(document, "e-2", 2, 100);
    addModel(document, "a", 60);
    addModel(document, "b", 60);
    return document;
}

std::vector<Reason> reasonsOf(const Document &next, const Document *previous = nullptr)
{
    std::vector<Reason> reasons;
    for (const auto &it : validate(next, previous)) {
        reasons.push_back(it.reason);
    }
    return reasons;
}

} // namespace

TEST_CASE("all reasons against references are given at once")
{
    auto document = twoEndpoints();
    addEndpoint(document, "e-3", 2, 100);
    addAdapter(document, "b", "a", 1);
    addAdapter(document, "x", "gone", 1);
    addModel(document, "c", 200);
    addModel(document, "d", 1, 9);
    document.services[base::ServiceName("s")] = {.name = base::ServiceName("s")};
    const std::vector<Reason> expected = {Reason::AmbiguousName, Reason::UnknownModel,      Reason::DuplicateAddress,
                                          Reason::NoInstance,    Reason::NoServingEndpoint, Reason::TooFewEndpoints};
    CHECK(reasonsOf(document) == expected);
}

TEST_CASE("memory counts all models and their adapters together")
{
    auto document = twoEndpoints();
    CHECK(reasonsOf(document).empty());
    addAdapter(document, "x", "a", 40);
    CHECK(reasonsOf(document).empty());
    addAdapter(document, "y", "a", 1);
    CHECK(reasonsOf(document) == std::vector{Reason::NoPlaceForAdapter});
    document.adapters.clear();
    addModel(document, "c", 50);
    CHECK(reasonsOf(document) == std::vector{Reason::NoPlaceForModel});
    CHECK(toString(validate(document, nullptr).front()) == "[models.c] no place beside the other models: 50 MiB wanted, 40 MiB at most");
}

TEST_CASE("memory must also suffice half-way through the change")
{
    const auto before = twoEndpoints();
    auto swapped = before;
    swapped.models.erase(base::ModelName("b"));
    addModel(swapped, "c", 60);
    CHECK(reasonsOf(swapped).empty());
    CHECK(reasonsOf(swapped, &before) == std::vector{Reason::NoRoomForChange});

    auto rolled = before;
    rolled.models.at(base::ModelName("a")).version = "2";
    CHECK(reasonsOf(rolled, &before) == std::vector{Reason::NoRoomForChange});
    addEndpoint(rolled, "e-3", 3, 60);
    CHECK(reasonsOf(rolled, &before).empty());
}

TEST_CASE("a model that stays needs an endpoint that stays")
{
    const auto before = twoEndpoints();
    auto after = before;
    after.endpoints.clear();
    addEndpoint(after, "e-2", 2, 100);
    addEndpoint(after, "e-3", 3, 100);
    CHECK(reasonsOf(after, &before) == std::vector{Reason::NoEndpointKept});
}

TEST_CASE("an endpoint that only prefills reaches no caller")
{
    auto document = twoEndpoints();
    for (auto &it : document.endpoints) {
        it.second.role = "prefill";
    }
    CHECK(reasonsOf(document) == std::vector{Reason::NoServingEndpoint, Reason::NoServingEndpoint});
}

TEST_CASE("both deployments of the examples can be accepted")
{
    const std::vector<std::tuple<std::string, std::size_t, std::size_t, std::size_t>> sites = {{"tx-central", 20, 75, 12}, {"qc-est", 35, 95, 18}};
    for (const auto &[site, models, adapters, endpoints] : sites) {
        std::ifstream in("examples/" + site + ".toml"); // the tests run in the project's folder
        std::stringstream text;
        text << in.rdbuf();
        const auto document = parseDocument(text.str());
        REQUIRE(document);
        CHECK(document->models.size() == models);
        CHECK(document->adapters.size() == adapters);
        CHECK(document->endpoints.size() == endpoints);
        CHECK(validate(*document, nullptr).empty());
        auto rolled = *document;
        for (auto &it : rolled.models) {
            it.second.version += ".1";
        }
        CHECK(validate(rolled, &*document).empty());
    }
}
