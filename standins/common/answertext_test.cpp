#include "common/answertext.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using nlohmann::json;
using turmericplank::standins::AnswerText;

TEST_CASE("an answer depends only on the model, the messages and the token index")
{
    const auto messages = json::parse(R"([{"role":"user","content":"valve"}])");
    const auto reordered = json::parse(R"([{"content":"valve","role":"user"}])");
    const AnswerText text("advisor", messages);
    CHECK(text.tokens(0, 8) == AnswerText("advisor", reordered).tokens(0, 8));
    CHECK(text.tokens(0, 8) == text.tokens(0, 3) + text.tokens(3, 8));
    CHECK(text.token(0) != text.token(1));
    CHECK(text.token(0) != AnswerText("scheduler", messages).token(0));
    CHECK(text.token(0) != AnswerText("advisor", json::parse(R"([{"role":"user","content":"duct"}])")).token(0));
}
