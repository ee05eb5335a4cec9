#include "requesttimeline.hpp"

#include <algorithm>

#include <doctest/doctest.h>

using namespace turmericplank::cli;

namespace {

std::vector<LogLine> parsed(const std::vector<std::pair<std::string, std::string>> &texts)
{
    std::vector<LogLine> lines;
    for (const auto &[source, text] : texts) {
        const auto line = parseLogLine(source, text);
        REQUIRE(line);
        lines.push_back(*line);
    }
    return lines;
}

bool tells(const Story &story, const std::string &text)
{
    return std::ranges::any_of(story.entries, [&](const auto &it) { return it.line.text.find(text) != std::string::npos; });
}

const std::pair<std::string, std::string> configured{"b", "2026-12-04 03:00:00,000 INFO  configuration: in force revision=7 routes=3"};
const std::pair<std::string, std::string> leased{"a", "2026-12-04 03:00:01,000 INFO  placement: holds the lease term=2 table=up"};

} // namespace

TEST_CASE("a line is read with its source, time, sentence and fields")
{
    const auto plain = parseLogLine("file", "2026-12-04 03:00:28,123 WARN  requests: refused request=r1 reason=no_endpoint note=\"two words\" adapter=\"\"");
    REQUIRE(plain);
    CHECK(plain->source == "file");
    CHECK(plain->slice == "requests");
    CHECK(plain->sentence == "refused");
    CHECK(plain->fields.at("note") == "two words");
    CHECK(plain->fields.at("adapter").empty());
    const auto named = parseLogLine("file", "  12.5 entry-3 2026-12-04 03:00:29,123 INFO  peers: silent daemon=entry-4");
    REQUIRE(named);
    CHECK(named->source == "entry-3");
    CHECK(named->at - plain->at == 1000);
    CHECK_FALSE(parseLogLine("file", "Terminated"));
    CHECK_FALSE(parseLogLine("file", ""));
}

TEST_CASE("a call refused under overload: the demand and the orders that its daemon did not see")
{
    const auto story =
        storyOf(parsed({configured,
                        leased,
                        {"a", "2026-12-04 03:00:05,000 INFO  placement: demand service=s percent_per_engines=old:10/2"},
                        {"a", "2026-12-04 03:00:07,000 INFO  placement: demand service=s percent_per_engines=hot:900/1"},
                        {"a", "2026-12-04 03:00:07,500 INFO  placement: orders kind=load endpoint=e9 model=hot adapter=\"\" reason=demand"},
                        {"a", "2026-12-04 03:00:07,600 INFO  placement: orders kind=load endpoint=e9 model=other adapter=\"\" reason=demand"},
                        {"b", "2026-12-04 03:00:08,051 WARN  requests: refused request=r1 work=s:hot reason=no_endpoint after_ms=51"},
                        {"b", "2026-12-04 03:00:08,051 INFO  requests: ended request=r1 work=s:hot endpoint=none outcome=no_endpoint total_ms=51"}}),
                "r1");
    CHECK(tells(story, "hot:900/1"));
    CHECK_FALSE(tells(story, "old:10/2"));
    CHECK(tells(story, "model=hot"));
    CHECK_FALSE(tells(story, "model=other"));
    CHECK(tells(story, "holds the lease"));
    CHECK(story.missing.empty());
    const auto demand = std::ranges::find_if(story.entries, [](const auto &it) { return it.line.sentence == "demand"; });
    REQUIRE(demand != story.entries.end());
    CHECK(demand->ageMilliseconds == 1000);
}

TEST_CASE("a call that ended with an unknown outcome: its endpoint went down")
{
    const auto story =
        storyOf(parsed({configured,
                        leased,
                        {"b", "2026-12-04 03:00:08,000 INFO  requests: send ended request=r2 endpoint=e1 end=lost after_ms=58 next=fail_unknown"},
                        {"b", "2026-12-04 03:00:08,000 INFO  requests: ended request=r2 work=s: endpoint=e1 outcome=unknown total_ms=60"},
                        {"b", "2026-12-04 03:00:10,000 INFO  endpoints: gone endpoint=e1 incarnation=4"},
                        {"b", "2026-12-04 03:00:10,000 INFO  endpoints: gone endpoint=e2 incarnation=4"}}),
                "r2");
    CHECK(tells(story, "gone endpoint=e1"));
    CHECK_FALSE(tells(story, "gone endpoint=e2"));
    CHECK(story.missing.empty());
}

TEST_CASE("a stream broken off while its daemon had lost the store and another daemon was frozen")
{
    const auto story = storyOf(parsed({configured,
                                       leased,
                                       {"b", "2026-12-04 03:00:04,000 WARN  store: does not answer after_ms=9000"},
                                       {"b", "2026-12-04 03:00:06,000 WARN  peers: silent daemon=c age_ms=1400"},
                                       {"b", "2026-12-04 03:00:08,000 WARN  requests: refused request=r3 work=s:m/a1 reason=unknown after_ms=1000 events=17"}}),
                               "r3");
    CHECK(tells(story, "store: does not answer"));
    CHECK(tells(story, "silent daemon=c"));
    REQUIRE(story.missing.size() == 1);
    CHECK(story.missing.front().find("no line on its end") == 0);
}

TEST_CASE("what the logs do not say is named")
{
    CHECK(storyOf({}, "r4").missing == std::vector<std::string>{"no line of this request"});
    const auto story = storyOf(parsed({{"b", "2026-12-04 03:00:08,051 WARN  requests: refused request=r1 work=s:hot reason=not_resident after_ms=51"}}), "r1");
    CHECK(story.missing.size() == 3);
}
