#include "turmericplank/gateway/call.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;

TEST_CASE("repetitions of a call have the same content fingerprint, and calls to another host, target or with another body don't")
{
    Call call;
    call.id = "c1";
    call.host = "h";
    Call repetition = call;
    repetition.id = "c2";
    const net::HttpRequest request{"POST", "/a?x=1", {{"Request-Id", "c1"}}, "question"};
    const auto content = contentFingerprint(call, request);
    CHECK(contentFingerprint(repetition, {"POST", "/a?x=1", {{"Request-Id", "c2"}, {"Deadline-Ms", "10"}}, "question"}) == content);
    CHECK(contentFingerprint(call, {"GET", "/a?x=1", {}, "question"}) != content);
    CHECK(contentFingerprint(call, {"POST", "/a?x=2", {}, "question"}) != content);
    CHECK(contentFingerprint(call, {"POST", "/a?x=1", {}, "questions"}) != content);
    call.host = "other";
    CHECK(contentFingerprint(call, request) != content);
}

TEST_CASE("a fingerprint is logged with all its digits")
{
    CHECK(toString(requests::Fingerprint(0x2a)) == "000000000000002a");
}
