#include "turmericplank/gateway/forwarder.hpp"

#include <doctest/doctest.h>

#include "testsite.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;

namespace {

constexpr std::uint16_t FirstPort = 20111;
// An endpoint counts as silent after 100 ms.
constexpr auto ShortPause = std::chrono::milliseconds(50);
constexpr auto PauseBeyondLimit = std::chrono::milliseconds(250);
constexpr auto LongPause = std::chrono::milliseconds(600);

/// Body of a stream whose first events come from one engine and the next ones from another.
std::string stream(int first, const std::string &firstEngine, int count, const std::string &engine = {})
{
    std::string text;
    for (int n = 1; n <= count; ++n) {
        text += "id: " + std::to_string(n) + "\ndata: " + (n <= first ? firstEngine : engine) + "\n\n";
    }
    return text;
}

} // namespace

TEST_CASE("a stream whose endpoint pauses is not cut off when the other endpoint rejects it")
{
    TestSite site(FirstPort);
    site.a.scripts = {events(2) + pause(LongPause) + events(2) + step(EngineStep::Kind::End)};
    site.b.scripts = {step(EngineStep::Kind::Reject)};
    const auto exchange = site.call({{"Request-Id", "c1"}});
    CHECK(site.b.received == std::vector<std::string>{"2"});
    CHECK(exchange->isComplete);
    CHECK_FALSE(exchange->isCutOff);
    CHECK(exchange->body == stream(4, "a", 4));
}
