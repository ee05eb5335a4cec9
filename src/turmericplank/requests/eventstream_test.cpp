#include "turmericplank/requests/eventstream.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace turmericplank::requests;
using nlohmann::json;

TEST_CASE("tokens are complete whatever the boundaries of the reads")
{
    const std::string bytes = "data: {\"id\":\"r-1\",\"choices\":[{\"delta\":{\"content\":\"a\"}}],\"turmericplank_offset\":7}\n\ndata: [DONE]\n\n";
    EventStream stream;
    std::vector<StreamedToken> tokens;
    for (const char it : bytes) {
        const auto fed = stream.feed(std::string_view(&it, 1));
        REQUIRE(fed);
        tokens.insert(tokens.end(), fed->begin(), fed->end());
    }
    REQUIRE(tokens.size() == 2);
    CHECK(tokens.front().offset == 7);
    CHECK(chunkText(tokens.front().chunk) == "a");
    CHECK(tokens.back().isEnd);
}

TEST_CASE("an event without a valid offset at the top level is not a chunk")
{
    for (const auto *event : {"data: {\"id\":\"r\"}\n", "data: {\"a\":{\"turmericplank_offset\":1}}\n", "data: {\"turmericplank_offset\":-1}\n", "data: [1]\n",
                              "data: {\"turmericplank_offset\":1\n"}) {
        CAPTURE(event);
        CHECK_FALSE(EventStream().feed(event));
    }
}

TEST_CASE("the id of a chunk is replaced in the same way whatever its format")
{
    const std::string ours = R"({"choices":[{"delta":{"content":"say \"id\":\"r-2\" twice"}}],"id":"r-12","turmericplank_offset":3})";
    auto expected = json::parse(ours);
    expected["id"] = "r";
    CHECK(json::parse(chunkWithId(ours, "r")) == expected);
    for (const auto *other : {R"({"id":"else","turmericplank_offset":3})", R"({"id": "r-1x","turmericplank_offset":3})", R"({"turmericplank_offset":3})"}) {
        auto renamed = json::parse(other);
        renamed["id"] = "r";
        CHECK(json::parse(chunkWithId(other, "r")) == renamed);
    }
}
