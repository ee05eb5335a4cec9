#include "turmericplank/gateway/call.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;

TEST_CASE("repetitions of a call have the same content fingerprints, and calls to another host, target or with another body don't")
{
    Call call;
    call.id = "c1";
    call.host = "h";
    Call repetition = call;
    repetition.id = "c2";
    const net::HttpRequest request{"POST", "/a", {{"Request-Id", "c1"}}, "question"};
    const auto contents = contentFingerprints(call, request);
    CHECK(contents.size() == 1);
    CHECK(contentFingerprints(repetition, {"POST", "/a", {{"Request-Id", "c2"}, {"Deadline-Ms", "10"}}, "question"}) == contents);
    CHECK(contentFingerprints(call, {"GET", "/a", {}, "question"}) != contents);
    CHECK(contentFingerprints(call, {"POST", "/b", {}, "question"}) != contents);
    CHECK(contentFingerprints(call, {"POST", "/a", {}, "questions"}) != contents);
    call.host = "other";
    CHECK(contentFingerprints(call, request) != contents);
}

TEST_CASE("calls to one path with different queries have one content fingerprint in common")
{
    const Call call;
    const auto plain = contentFingerprints(call, {"GET", "/a", {}, {}});
    const auto first = contentFingerprints(call, {"GET", "/a?x=1", {}, {}});
    const auto second = contentFingerprints(call, {"GET", "/a?x=2", {}, {}});
    CHECK(first.size() == 2);
    CHECK(first.front() != second.front());
    CHECK(first.back() == second.back());
    CHECK(first.back() == plain.front());
}

TEST_CASE("calls share the fingerprints of equal parts of their prompts, except for the last ones")
{
    const base::ServiceName service("s");
    const auto first = sharedPartFingerprints(service, {{1, 10}, {2, 10}, {3, 10}});
    const auto second = sharedPartFingerprints(service, {{4, 10}, {2, 20}, {3, 10}});
    CHECK(first.size() == 2);
    CHECK(first.front() != second.front());
    CHECK(first.back() == second.back());
    CHECK(sharedPartFingerprints(base::ServiceName("other"), {{1, 10}, {2, 10}, {3, 10}}).back() != first.back());
    CHECK(sharedPartFingerprints(service, {{1, 10}}).empty());
    CHECK(sharedPartFingerprints(service, {}).empty());
}

TEST_CASE("a fingerprint is logged with all its digits")
{
    CHECK(toString(requests::Fingerprint(0x2a)) == "000000000000002a");
}
