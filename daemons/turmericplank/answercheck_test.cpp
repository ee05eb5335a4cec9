#include "answercheck.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace turmericplank;
using namespace turmericplank::cli;

namespace {

constexpr std::uint32_t Tokens = 4;
const base::Time start = base::timeFromMilliseconds(1000);

standins::AnswerText answer(const std::string &model = "m")
{
    return {model, nlohmann::json::array()};
}

std::string event(const std::string &text)
{
    const nlohmann::json chunk = {{"choices", {{{"delta", {{"content", text}}}}}}};
    return "data: " + chunk.dump() + "\n\n";
}

Verdict verdictOf(const std::vector<std::uint32_t> &order, bool isEndSeen = true, bool hasMark = true)
{
    AnswerCheck check(answer(), Tokens);
    for (const auto it : order) {
        check.addBytes(event(answer().token(it)), start);
    }
    if (hasMark) {
        check.addBytes("data: [DONE]\n\n", start);
    }
    return check.end(isEndSeen);
}

} // namespace

TEST_CASE("an answer is whole only with every token once, in order and followed by the end marker")
{
    CHECK(verdictOf({0, 1, 2, 3}) == Verdict::Whole);
    CHECK(verdictOf({0, 1, 2}) == Verdict::Truncated);
    CHECK(verdictOf({0, 1, 2, 3}, true, false) == Verdict::Truncated);
    CHECK(verdictOf({0, 1, 1, 2, 3}) == Verdict::Doubled);
    CHECK(verdictOf({0, 1, 2, 3, 3}) == Verdict::Doubled);
    CHECK(verdictOf({0, 2, 1, 3}) == Verdict::Reordered);
    CHECK(verdictOf({0, 1}, false, false) == Verdict::Lost);
    CHECK_FALSE(isWrong(Verdict::Lost));
    CHECK(isWrong(Verdict::Truncated));
}

TEST_CASE("text of another answer is detected")
{
    AnswerCheck check(answer(), Tokens);
    check.addBytes(event(answer().token(0)) + event(answer("n").token(1)), start);
    CHECK(check.end(true) == Verdict::Crossed);
}

TEST_CASE("an error within the answer and comments are parsed, wherever the bytes are split")
{
    AnswerCheck check(answer(), Tokens);
    const std::string stream =
        ": keep-alive\n\n" + event(answer().token(0)) + "event: error\ndata: {\"error\":{\"code\":\"endpoint_lost\",\"outcome\":\"unknown\"}}\n\n";
    for (const char it : stream) {
        check.addBytes(std::string_view(&it, 1), start);
    }
    CHECK(check.end(true) == Verdict::Refused);
    CHECK(check.error() == AnswerError{"endpoint_lost", "unknown", {}});
    CHECK(check.tokens() == 1);
    CHECK(readError("<html>").code.empty());
}
