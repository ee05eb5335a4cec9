#include "turmericplank/configuration/documentobjects.hpp"

#include <doctest/doctest.h>

#include "turmericplank/configuration/canonical.hpp"
#include "turmericplank/configuration/difference.hpp"
#include "turmericplank/configuration/reader.hpp"

using namespace turmericplank;
using namespace turmericplank::configuration;

namespace {

Document documentWithModels(int count)
{
    Document document;
    document.site = "site \"one\"";
    for (int n = 0; n < count; ++n) {
        const base::ModelName name("model-" + std::to_string(n));
        document.models[name] = Model{.name = name, .version = "1", .memoryMib = 1000, .weight = 0.1 * n};
    }
    const base::ServiceName service("booking");
    document.services[service] = {
        .name = service, .instances = {{base::EndpointId("b"), {"10.0.0.1", 80}, base::ZoneName("r/a")}}, .operations = {{"POST", "/book", false}}};
    return document;
}

std::size_t bytesNotIn(const ObjectCache &later, const ObjectCache &earlier)
{
    std::size_t total = 0;
    for (const auto &it : later) {
        total += earlier.contains(it.first) ? 0 : it.second.size();
    }
    return total;
}

} // namespace

TEST_CASE("parsing the canonical text yields an equal document")
{
    const auto document = documentWithModels(40);
    const auto text = canonicalText(document);
    const auto read = parseDocument(text);
    REQUIRE(read);
    CHECK(*read == document);
    CHECK(canonicalText(*read) == text);
}

TEST_CASE("a document is assembled from its objects, and missing objects are reported")
{
    const auto document = documentWithModels(100);
    ObjectCache cache;
    const auto sections = splitDocument(document, cache);
    const auto snapshot = assembleDocument(nullptr, sections, cache);
    REQUIRE(snapshot);
    CHECK(*snapshot->document == document);

    cache.erase(snapshot->pages.at(Section::Models).front());
    const auto incomplete = assembleDocument(nullptr, sections, cache);
    REQUIRE_FALSE(incomplete);
    CHECK(incomplete.error().missing == std::vector<std::string>{snapshot->pages.at(Section::Models).front()});
}

TEST_CASE("changing a few tables replaces a small part of a large section")
{
    auto document = documentWithModels(1300);
    ObjectCache before;
    const auto oldSections = splitDocument(document, before);
    const auto base = assembleDocument(nullptr, oldSections, before);
    REQUIRE(base);

    document.models.at(base::ModelName("model-700")).version = "2";
    document.models.erase(base::ModelName("model-3"));
    const base::ModelName added("model-x");
    document.models[added] = Model{.name = added, .version = "1", .memoryMib = 5};
    ObjectCache after = before;
    const auto sections = splitDocument(document, after);
    CHECK(bytesNotIn(after, before) * 4 < canonicalText(document, Section::Models).size());
    const auto snapshot = assembleDocument(&*base, sections, after);
    REQUIRE(snapshot);
    CHECK(*snapshot->document == document);
}

TEST_CASE("the digest of the whole document depends on every section")
{
    ObjectCache cache;
    auto document = documentWithModels(3);
    const auto before = documentObject(splitDocument(document, cache));
    document.placement.movePrice = 7;
    const auto after = documentObject(splitDocument(document, cache));
    CHECK(before.digest != after.digest);
    CHECK(parseDocumentObject(after.bytes) == splitDocument(document, cache));
    CHECK_FALSE(parseDocumentObject("models short\n"));
}

TEST_CASE("a difference lists changed and removed tables with only the lines that differ")
{
    const auto before = documentWithModels(3);
    auto after = before;
    after.models.at(base::ModelName("model-1")).version = "2";
    after.models.erase(base::ModelName("model-2"));
    const auto difference = differenceOf(before, after);
    REQUIRE(difference.size() == 2);
    CHECK(difference[1].after.empty());
    CHECK(toString({difference[0]}) == "  [models.\"model-1\"]\n- version = \"1\"\n+ version = \"2\"\n");
    CHECK(differenceOf(before, before).empty());
}
