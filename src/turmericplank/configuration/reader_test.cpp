#include "turmericplank/configuration/reader.hpp"

#include <algorithm>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::configuration;

namespace {

constexpr std::string_view SmallDocument = R"([site]
name = "tx-central"
[models.advisor]
version = "3"
memory_mib = 16000
[adapters.valves]
model = "advisor"
memory_mib = 200
[priorities.technicians]
highest = "urgent"
[endpoints.e-1]
address = "10.0.0.7:8000"
zone = "tx/a"
memory_mib = 80000
checks_fencing = true
[services.booking]
[[services.booking.instances]]
id = "b-1"
address = "10.0.1.7:8000"
zone = "tx/a"
[[services.booking.operations]]
method = "GET"
path = "/status"
repeatable = true
)";

} // namespace

TEST_CASE("a document is parsed into typed values with defaults")
{
    const auto document = parseDocument(SmallDocument);
    REQUIRE(document);
    CHECK(document->site == "tx-central");
    CHECK(document->models.at(base::ModelName("advisor")).memoryMib == 16000);
    CHECK(document->models.at(base::ModelName("advisor")).minimumReplicas == 1);
    CHECK(document->adapters.at(base::AdapterName("valves")).model == base::ModelName("advisor"));
    CHECK(document->endpoints.at(base::EndpointId("e-1")).checksFencing);
    CHECK(document->endpoints.at(base::EndpointId("e-1")).zone == base::ZoneName("tx/a"));
    CHECK(document->services.at(base::ServiceName("booking")).operations.front().isRepeatable);
}

TEST_CASE("all errors are reported at once with section, key, line and what was expected")
{
    const auto document = parseDocument("[site]\nname = \"x\"\ncolour = 1\n[models.a]\nversion = 3\n[models.b]\nversion = \"1\"\nmemory_mib = 0\n[nodes]\n"
                                        "[endpoints.e]\naddress = \"somewhere\"\nzone = \"a\"\nmemory_mib = 1\nchecks_fencing = \"yes\"\n");
    REQUIRE_FALSE(document);
    const std::vector<ParseError> expected = {
        {ParseErrorKind::UnknownKey, "site", "colour", 3, "no such key"},
        {ParseErrorKind::MissingKey, "models.a", "memory_mib", 4, "integer from 1 to 16777216"},
        {ParseErrorKind::WrongType, "models.a", "version", 5, "string of 1 to 1024 bytes without control characters"},
        {ParseErrorKind::OutOfRange, "models.b", "memory_mib", 8, "integer from 1 to 16777216"},
        {ParseErrorKind::UnknownSection, "nodes", "", 9, "site, models, adapters, priorities, placement, endpoints or services"},
        {ParseErrorKind::OutOfRange, "endpoints.e", "address", 11, "IPv4 address and port, for example 10.0.0.7:8080"},
        {ParseErrorKind::OutOfRange, "endpoints.e", "zone", 12, "availability zone in the form region/zone"},
        {ParseErrorKind::WrongType, "endpoints.e", "checks_fencing", 14, "true or false"},
    };
    CHECK(document.error() == expected);
    CHECK(toString(document.error().front()) == "line 3: [site] colour: unknown key");
}

TEST_CASE("a TOML syntax error is reported with its line")
{
    const auto document = parseDocument("[site]\nname = \"x\"\n[models.a\n");
    REQUIRE_FALSE(document);
    REQUIRE(document.error().size() == 1);
    CHECK(document.error().front().kind == ParseErrorKind::Syntax);
    CHECK(document.error().front().line == 3);
}

TEST_CASE("malformed text never crashes the parser")
{
    for (const std::string_view text : {"[=x]\n", "[[=x]]\n", "[\x16s]\n", "[a.=]\n", "[\"", "a = [", "\xef\xbb", "x = 1979-13-99"}) {
        CHECK_FALSE(parseDocument(text));
    }
}

TEST_CASE("non-ASCII characters are allowed in comment lines only")
{
    CHECK(parseDocument("# L\xc3\xa9vesque\n[site]\n  # \xe2\x80\x83\nname = \"x\"\n"));
    const auto document = parseDocument("[site]\nname = \"L\xc3\xa9vesque\"\n\xe1\x9a\x81 = 1\n");
    REQUIRE_FALSE(document);
    REQUIRE(document.error().size() == 2);
    CHECK(document.error()[0].line == 2);
    CHECK(document.error()[1].line == 3);
}

TEST_CASE("a name with characters unsafe in log lines or paths is rejected")
{
    const auto document = parseDocument("[site]\nname = \"x\"\n[models.\"a b\"]\nversion = \"1\"\nmemory_mib = 1\n");
    REQUIRE_FALSE(document);
    CHECK(document.error().front().kind == ParseErrorKind::InvalidName);
}

TEST_CASE("a section's text may contain that section only")
{
    CHECK(parseSection(Section::Models, "[models.a]\nversion = \"1\"\nmemory_mib = 1\n"));
    const auto otherSection = parseSection(Section::Models, "[placement]\nmove_price = 0\n");
    REQUIRE_FALSE(otherSection);
    CHECK(otherSection.error().front().kind == ParseErrorKind::UnknownSection);
    CHECK(otherSection.error().front().expected == "only the section models");
}
