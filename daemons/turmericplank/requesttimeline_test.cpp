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

bool hasLine(const RequestTimeline &timeline, const std::string &text)
{
    return std::ranges::any_of(timeline.entries, [&](const auto &it) { return it.line.text.find(text) != std::string::npos; });
}

const std::pair<std::string, std::string> configured{"b", "2026-12-04 03:00:00,000 INFO  configuration: in force revision=7 routes=3"};
const std::pair<std::string, std::string> leased{"a", "2026-12-04 03:00:01,000 INFO  placement: holds the lease term=2 table=up"};

} // namespace

TEST_CASE("a line is parsed into source, time, message and fields")
{
    const auto plain = parseLogLine("file", "2026-12-04 03:00:28,123 WARN  requests: refused request=r1 reason=no_endpoint note=\"two words\" adapter=\"\"");
    REQUIRE(plain);
    CHECK(plain->source == "file");
    CHECK(plain->slice == "requests");
    CHECK(plain->message == "refused");
    CHECK(plain->fields.at("note") == "two words");
    CHECK(plain->fields.at("adapter").empty());
    const auto named = parseLogLine("file", "  12.5 entry-3 2026-12-04 03:00:29,123 INFO  peers: silent daemon=entry-4");
    REQUIRE(named);
    CHECK(named->source == "entry-3");
    CHECK(named->at - plain->at == 1000);
    CHECK_FALSE(parseLogLine("file", "Terminated"));
    CHECK_FALSE(parseLogLine("file", ""));
}

TEST_CASE("a call rejected under overload: the timeline has the demand and the orders, which the daemon itself did not see")
{
    const auto timeline =
        buildTimeline(parsed({configured,
                              leased,
                              {"a", "2026-12-04 03:00:05,000 INFO  placement: demand service=s percent_per_engines=old:10/2"},
                              {"a", "2026-12-04 03:00:07,000 INFO  placement: demand service=s percent_per_engines=hot:900/1"},
                              {"a", "2026-12-04 03:00:07,500 INFO  placement: orders kind=load endpoint=e9 model=hot adapter=\"\" reason=demand"},
                              {"a", "2026-12-04 03:00:07,600 INFO  placement: orders kind=load endpoint=e9 model=other adapter=\"\" reason=demand"},
                              {"b", "2026-12-04 03:00:08,051 WARN  requests: refused request=r1 work=s:hot reason=no_endpoint after_ms=51"},
                              {"b", "2026-12-04 03:00:08,051 INFO  requests: ended request=r1 work=s:hot endpoint=none outcome=no_endpoint total_ms=51"}}),
                      "r1");
    CHECK(hasLine(timeline, "hot:900/1"));
    CHECK_FALSE(hasLine(timeline, "old:10/2"));
    CHECK(hasLine(timeline, "model=hot"));
    CHECK_FALSE(hasLine(timeline, "model=other"));
    CHECK(hasLine(timeline, "holds the lease"));
    CHECK(timeline.missing.empty());
    const auto demand = std::ranges::find_if(timeline.entries, [](const auto &it) { return it.line.message == "demand"; });
    REQUIRE(demand != timeline.entries.end());
    CHECK(demand->ageMilliseconds == 1000);
}

TEST_CASE("a call with an unknown outcome: the timeline shows that its endpoint was removed")
{
    const auto timeline =
        buildTimeline(parsed({configured,
                              leased,
                              {"b", "2026-12-04 03:00:08,000 INFO  requests: send ended request=r2 endpoint=e1 end=lost after_ms=58 next=fail_unknown"},
                              {"b", "2026-12-04 03:00:08,000 INFO  requests: ended request=r2 work=s: endpoint=e1 outcome=unknown total_ms=60"},
                              {"b", "2026-12-04 03:00:10,000 INFO  endpoints: gone endpoint=e1 incarnation=4"},
                              {"b", "2026-12-04 03:00:10,000 INFO  endpoints: gone endpoint=e2 incarnation=4"}}),
                      "r2");
    CHECK(hasLine(timeline, "gone endpoint=e1"));
    CHECK_FALSE(hasLine(timeline, "gone endpoint=e2"));
    CHECK(timeline.missing.empty());
}

TEST_CASE("an aborted stream: the timeline shows that its daemon could not reach the store and that a peer was silent")
{
    const auto timeline =
        buildTimeline(parsed({configured,
                              leased,
                              {"b", "2026-12-04 03:00:04,000 WARN  store: does not answer after_ms=9000"},
                              {"b", "2026-12-04 03:00:06,000 WARN  peers: silent daemon=c age_ms=1400"},
                              {"b", "2026-12-04 03:00:08,000 WARN  requests: refused request=r3 work=s:m/a1 reason=unknown after_ms=1000 events=17"}}),
                      "r3");
    CHECK(hasLine(timeline, "store: does not answer"));
    CHECK(hasLine(timeline, "silent daemon=c"));
    REQUIRE(timeline.missing.size() == 1);
    CHECK(timeline.missing.front().find("no line about its end") == 0);
}

TEST_CASE("missing information is reported")
{
    CHECK(buildTimeline({}, "r4").missing == std::vector<std::string>{"no line of this request"});
    const auto timeline =
        buildTimeline(parsed({{"b", "2026-12-04 03:00:08,051 WARN  requests: refused request=r1 work=s:hot reason=not_resident after_ms=51"}}), "r1");
    CHECK(timeline.missing.size() == 3);
}
