#include "turmericplank/requests/endpointcall.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::requests;

namespace {

constexpr base::Time Start(std::chrono::seconds(1000));

EndpointCall makeCall(bool isRepeatable)
{
    EndpointCallOptions options;
    options.id = base::RequestId("r");
    options.canResume = isRepeatable;
    options.isRepeatable = isRepeatable;
    return EndpointCall(options, Start + std::chrono::seconds(60));
}

EndpointChoice endpoint(const char *name)
{
    return EndpointChoice{base::EndpointId(name), base::Address{"127.0.0.1", 1}};
}

} // namespace

TEST_CASE("a stream that times out is resumed from the delivered offset and its late pieces are dropped")
{
    auto call = makeCall(true);
    call.send(endpoint("a"), Start);
    CHECK(call.piece(base::Attempt(1), 0, "x", Start) == EndpointCallActions{DeliverPiece{0, "x"}});
    const auto actions = call.tick(Start + std::chrono::seconds(5));
    REQUIRE(actions.size() == 1);
    CHECK(std::get<SendAttempt>(actions[0]).isResume);
    CHECK(std::get<SendAttempt>(actions[0]).offset == 1);
    CHECK(call.piece(base::Attempt(1), 1, "late", Start).empty());
    CHECK(call.piece(base::Attempt(2), 1, "y", Start) == EndpointCallActions{DeliverPiece{1, "y"}});
    CHECK(call.attemptEnded(base::Attempt(2), AttemptResult::Answered, Start) == EndpointCallActions{CompleteCall{}});
}

TEST_CASE("an unrepeatable call is not sent again after a connection loss")
{
    auto call = makeCall(false);
    call.send(endpoint("a"), Start);
    const auto actions = call.attemptEnded(base::Attempt(1), AttemptResult::Lost, Start);
    CHECK(actions
          == EndpointCallActions{ChooseNext{endpoint("a"), AttemptResult::Lost, true},
                                 FailCall{CallError{ErrorCode::CallOutcomeUnknown, base::Outcome::Unknown, std::nullopt}}});
}

TEST_CASE("the outcome is not_run only if every attempt was refused or not sent")
{
    auto call = makeCall(true);
    call.send(endpoint("a"), Start);
    CHECK(call.attemptEnded(base::Attempt(1), AttemptResult::Refused, Start) == EndpointCallActions{ChooseNext{endpoint("a"), AttemptResult::Refused, false}});
    CHECK((call.outcome() == base::Outcome::NotRun));
    call.send(endpoint("b"), Start);
    CHECK((call.outcome() == base::Outcome::Unknown));
}
