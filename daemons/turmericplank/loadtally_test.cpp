#include "loadtally.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace turmericplank;
using namespace turmericplank::cli;
using namespace std::chrono_literals;

namespace {

const base::Time start = base::timeFromMilliseconds(1000);

AnswerCheck answered(base::Duration firstToken, base::Duration interval)
{
    const standins::AnswerText text("m", nlohmann::json::array());
    AnswerCheck check(text, 3);
    for (std::uint32_t n = 0; n < 3; ++n) {
        const nlohmann::json chunk = {{"choices", {{{"delta", {{"content", text.token(n)}}}}}}};
        check.addBytes("data: " + chunk.dump() + "\n\n", start + firstToken + n * interval);
    }
    check.addBytes("data: [DONE]\n\n", start);
    return check;
}

} // namespace

TEST_CASE("only complete answers in time count towards attainment")
{
    LoadTally tally({1500ms, 44ms});
    tally.noteChat(answered(1500ms, 44ms), Verdict::Whole, start);
    tally.noteChat(answered(1501ms, 44ms), Verdict::Whole, start);
    tally.noteChat(answered(100ms, 45ms), Verdict::Whole, start);
    tally.noteChat(answered(100ms, 10ms), Verdict::Doubled, start);
    CHECK(tally.attainment() == doctest::Approx(0.25));
    CHECK(tally.wrongAnswers() == 1);
    CHECK(tally.toJson(1s).at("outcomes") == nlohmann::json{{"answered", 3}, {"doubled", 1}});
}

TEST_CASE("quantiles are exact")
{
    Samples samples;
    for (int n = 100; n >= 0; --n) {
        samples.add(std::chrono::milliseconds(n));
    }
    CHECK(samples.quantile(0.5) == doctest::Approx(50));
    CHECK(samples.quantile(0.99) == doctest::Approx(99));
    CHECK(Samples().quantile(0.5) == doctest::Approx(0));
}
