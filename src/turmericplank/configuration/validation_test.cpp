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

std::vector<ValidationErrorKind> errorKinds(const Document &next, const Document *previous = nullptr)
{
    std::vector<ValidationErrorKind> kinds;
    for (const auto &it : validate(next, previous)) {
        kinds.push_back(it.kind);
    }
    return kinds;
}

} // namespace

TEST_CASE("all reference and size errors are reported at once")
{
    auto document = twoEndpoints();
    addEndpoint(document, "e-3", 2, 100);
    addAdapter(document, "b", "a", 1);
    addAdapter(document, "x", "gone", 1);
    addModel(document, "c", 200);
    addModel(document, "d", 1, 9);
    document.services[base::ServiceName("s")] = {.name = base::ServiceName("s")};
    const std::vector<ValidationErrorKind> expected = {ValidationErrorKind::AmbiguousName,    ValidationErrorKind::UnknownModel,
                                                       ValidationErrorKind::DuplicateAddress, ValidationErrorKind::NoInstances,
                                                       ValidationErrorKind::ModelTooLarge,    ValidationErrorKind::TooFewEndpoints};
    CHECK(errorKinds(document) == expected);
}

TEST_CASE("all models and their adapters must fit into memory together")
{
    auto document = twoEndpoints();
    CHECK(errorKinds(document).empty());
    addAdapter(document, "x", "a", 40);
    CHECK(errorKinds(document).empty());
    addAdapter(document, "y", "a", 1);
    CHECK(errorKinds(document) == std::vector{ValidationErrorKind::AdapterDoesNotFit});
    document.adapters.clear();
    addModel(document, "c", 50);
    CHECK(errorKinds(document) == std::vector{ValidationErrorKind::ModelDoesNotFit});
    CHECK(toString(validate(document, nullptr).front()) == "[models.c] does not fit next to the other models: 50 MiB required, at most 40 MiB available");
}

TEST_CASE("models must also fit into memory during the transition")
{
    const auto before = twoEndpoints();
    auto swapped = before;
    swapped.models.erase(base::ModelName("b"));
    addModel(swapped, "c", 60);
    CHECK(errorKinds(swapped).empty());
    CHECK(errorKinds(swapped, &before) == std::vector{ValidationErrorKind::TransitionDoesNotFit});

    auto rolled = before;
    rolled.models.at(base::ModelName("a")).version = "2";
    CHECK(errorKinds(rolled, &before) == std::vector{ValidationErrorKind::TransitionDoesNotFit});
    addEndpoint(rolled, "e-3", 3, 60);
    CHECK(errorKinds(rolled, &before).empty());
}

TEST_CASE("a model in both documents needs an endpoint that is in both")
{
    const auto before = twoEndpoints();
    auto after = before;
    after.endpoints.clear();
    addEndpoint(after, "e-2", 2, 100);
    addEndpoint(after, "e-3", 3, 100);
    CHECK(errorKinds(after, &before) == std::vector{ValidationErrorKind::NoRetainedEndpoint});
}

TEST_CASE("a prefill endpoint serves no callers")
{
    auto document = twoEndpoints();
    for (auto &it : document.endpoints) {
        it.second.role = "prefill";
    }
    CHECK(errorKinds(document) == std::vector{ValidationErrorKind::ModelTooLarge, ValidationErrorKind::ModelTooLarge});
}

TEST_CASE("both example deployments are valid, also while all models are rolled")
{
    const std::vector<std::tuple<std::string, std::size_t, std::size_t, std::size_t>> sites = {{"tx-central", 20, 75, 12}, {"qc-est", 35, 95, 18}};
    for (const auto &[site, models, adapters, endpoints] : sites) {
        std::ifstream in("examples/" + site + ".toml"); // tests run in the project's root folder
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
