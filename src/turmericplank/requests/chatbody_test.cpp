#include "turmericplank/requests/chatbody.hpp"

#include <doctest/doctest.h>

#include "turmericplank/requests/callerheaders.hpp"
#include "turmericplank/requests/eventstream.hpp"
#include "turmericplank/requests/messages.hpp"

using namespace turmericplank;
using namespace turmericplank::requests;

TEST_CASE("the fingerprint of a body does not depend on its formatting")
{
    const auto body = readChatBody(R"({"model": "m", "stream": true, "messages": [{"role": "user", "content": "x"}]})");
    const auto other = readChatBody(R"({"messages":[{"content":"x","role":"user"}],"model":"m"})");
    REQUIRE(body);
    REQUIRE(other);
    CHECK(body->isStreamed);
    CHECK(body->fingerprint == other->fingerprint);
    CHECK(readChatBody(endpointBody(*body, 7))->canonical == body->canonical);
    CHECK(readChatBody(R"({"model":"m","messages":[1]})") == tl::make_unexpected(ChatBodyFailure::BadMessage));
    CHECK(readChatBody(R"({"model":"m","messages":[]})") == tl::make_unexpected(ChatBodyFailure::NoMessages));
    CHECK(readChatBody("[]") == tl::make_unexpected(ChatBodyFailure::NotJson));
}

TEST_CASE("the failure names the invalid header")
{
    const auto read = [](std::string_view name, std::string_view value) {
        return readCallerHeaders([=](std::string_view asked) { return asked == name ? value : std::string_view(); });
    };
    CHECK((read("X-Priority", "urgent")->priority == base::Priority::Urgent));
    CHECK(read("X-Priority", "high").error() == HeaderFailure::BadPriority);
    CHECK(read("X-Deadline", "1700000000000")->deadline == base::timeFromMilliseconds(1700000000000));
    CHECK(read("X-Deadline", "soon").error() == HeaderFailure::BadDeadline);
    CHECK(read("X-Caller", "a b").error() == HeaderFailure::BadCaller);
    CHECK(read("Idempotency-Key", std::string(256, 'k')).error() == HeaderFailure::BadIdempotencyKey);
}

TEST_CASE("events are parsed whatever the boundaries of the reads")
{
    const std::string bytes = "data: {\"turmericplank_offset\":0}\n\n: ping\n\ndata: {\"turmericplank_offset\":1}\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
        EventStream stream;
        auto tokens = *stream.feed(bytes.substr(0, cut));
        const auto rest = *stream.feed(bytes.substr(cut));
        tokens.insert(tokens.end(), rest.begin(), rest.end());
        REQUIRE(tokens.size() == 3);
        CHECK(tokens[1].offset == 1);
        CHECK(tokens[2].isEnd);
    }
    CHECK_FALSE(EventStream().feed("data: nonsense\n"));
}

TEST_CASE("encoded messages and rows decode to the same values")
{
    const MessageHeader header{base::DaemonId("d1"), base::Revision(7)};
    const TrialQuestionMessage question{header, {Fingerprint(1), 2, base::EndpointId("e"), {{base::EndpointId("f"), base::Incarnation(5)}}}};
    const SuspectsMessage suspects{header, {{Fingerprint(1), true, {{base::EndpointId("f"), base::Incarnation(5)}}, 3}}};
    CHECK(decodeMessage<TrialQuestionMessage>(encode(question)) == question);
    CHECK(decodeMessage<SuspectsMessage>(encode(suspects)) == suspects);
    CHECK_FALSE(decodeMessage<TrialReplyMessage>(encode(suspects)));
    const BookingRow row{BookingState::Done, base::DaemonId("d"), "t", "b", {201, "text/plain", "\xff\x01"}, base::timeFromMilliseconds(5)};
    CHECK(decodeBookingRow(encode(row)) == row);
    CHECK_FALSE(decodeBookingRow("{\"format\":1}"));
}
