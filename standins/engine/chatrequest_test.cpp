#include "engine/chatrequest.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace turmericplank;
using namespace turmericplank::standins::engine;

TEST_CASE("a chat completion request is parsed with its headers; an invalid one is rejected")
{
    net::HttpRequest request{"POST", "/v1/chat/completions", {{"X-Request-Id", "r"}, {"X-Priority", "bulk"}}, {}};
    request.body = R"({"model":"m","messages":[],"max_tokens":5,"turmericplank_offset":9,"stream":true})";
    const auto chat = readChatRequest(request);
    REQUIRE(chat);
    CHECK(chat->id == "r");
    CHECK((chat->priority == base::Priority::Bulk));
    CHECK(chat->offset == 5);
    CHECK(chat->isStreamed);
    request.body = "{";
    CHECK(readChatRequest(request).error() == ChatRequestError::NotJson);
    request.body = R"({"model":"m"})";
    CHECK(readChatRequest(request).error() == ChatRequestError::MissingField);
    request.body = R"({"model":1,"messages":[]})";
    CHECK(readChatRequest(request).error() == ChatRequestError::BadField);
}

TEST_CASE("an event is valid JSON even if the request id and the model name need escaping")
{
    const auto event = tokenEvent(eventPrefix("a\"b", "m\\n"), 3, " 0123");
    REQUIRE(event.starts_with("data: "));
    const auto chunk = nlohmann::json::parse(event.substr(6));
    CHECK(chunk.at("id") == "a\"b");
    CHECK(chunk.at("turmericplank_offset") == 3);
    CHECK(chunk.at("/choices/0/delta/content"_json_pointer) == " 0123");
}
