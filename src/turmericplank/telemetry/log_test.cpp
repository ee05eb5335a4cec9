#include "turmericplank/telemetry/log.hpp"

#include <doctest/doctest.h>

using namespace turmericplank::telemetry;

TEST_CASE("a line consists of a prefix, a message and fields that a program can parse")
{
    const auto line = formatLogLine("routing", "chose endpoint", {{"endpoint", "e-1"}, {"reason", "least late"}, {"score", 1.5}});
    CHECK(line == "routing: chose endpoint endpoint=e-1 reason=\"least late\" score=1.5");
}

TEST_CASE("a value cannot inject another line or field")
{
    const auto line = formatLogLine("requests", "refused", {{"caller", "a\nb=\"c\""}});
    CHECK(line == "requests: refused caller=\"a b=\\\"c\\\"\"");
}

TEST_CASE("only the four level names are parsed")
{
    LogLevel level = LogLevel::Info;
    CHECK(parseLogLevel("warning", level));
    CHECK(level == LogLevel::Warning);
    CHECK_FALSE(parseLogLevel("loud", level));
}
