#include "sectionfile.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::cli;
using configuration::Section;

TEST_CASE("a file with a single section keeps its text and its base revision")
{
    const auto text = revisionLine(Section::Placement, 7) + "[placement]\nmove_price = 2 # dear\n";
    const auto file = readSectionFile(Section::Placement, text);
    REQUIRE(file);
    CHECK(file->text == text);
    CHECK(file->revision == 7);
    CHECK_FALSE(readSectionFile(Section::Placement, "[placement]\n")->revision);
}

TEST_CASE("a section is extracted from a whole document")
{
    const auto file = readSectionFile(Section::Models, "[site]\nname = \"s\"\n[models.m]\nversion = \"1\"\nmemory_mib = 5\n");
    REQUIRE(file);
    CHECK(configuration::parseSection(Section::Models, file->text));
    CHECK(file->text.find("[site]") == std::string::npos);
}

TEST_CASE("the errors of the section are reported")
{
    const auto file = readSectionFile(Section::Models, "[models.m]\nversion = 1\n");
    REQUIRE_FALSE(file);
    CHECK(file.error().size() == 2);
}
