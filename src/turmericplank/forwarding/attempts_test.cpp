#include "turmericplank/forwarding/attempts.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::forwarding;
using routes::CallKind;

namespace {

constexpr CallKind Booking{false, false, false};
constexpr CallKind Lookup{true, false, false};
constexpr CallKind FixedStream{false, true, false};
constexpr CallKind ResumableStream{false, true, true};

base::Time at(std::int64_t milliseconds)
{
    return base::timeFromMilliseconds(milliseconds);
}

NextStep stepAfterFirstSend(CallKind kind, SendResult result, std::uint32_t maxSends = 2, bool isRetryAllowed = true)
{
    Attempts attempts(kind, maxSends, at(1000));
    attempts.recordSend();
    return attempts.afterSend(result, at(10), isRetryAllowed);
}

} // namespace

TEST_CASE("a call that may run only once is not sent again after it may have run")
{
    for (const auto kind : {Booking, FixedStream}) {
        CHECK((stepAfterFirstSend(kind, SendResult::Lost) == NextStep::FailUnknown));
        CHECK((stepAfterFirstSend(kind, SendResult::Silent) == NextStep::FailUnknown));
        CHECK((stepAfterFirstSend(kind, SendResult::Failed) == NextStep::RelayFailure));
        CHECK((stepAfterFirstSend(kind, SendResult::Refused) == NextStep::SendAgain));
        CHECK((stepAfterFirstSend(kind, SendResult::NotSent) == NextStep::SendAgain));
        CHECK((stepAfterFirstSend(kind, SendResult::Misdirected) == NextStep::SendAgain));
    }
}

TEST_CASE("repeatable calls and resumable streams are sent to another endpoint")
{
    CHECK((stepAfterFirstSend(Lookup, SendResult::Lost) == NextStep::SendAgain));
    CHECK((stepAfterFirstSend(Lookup, SendResult::Failed) == NextStep::SendAgain));
    CHECK((stepAfterFirstSend(ResumableStream, SendResult::Silent) == NextStep::SendAgain));
    CHECK((stepAfterFirstSend(ResumableStream, SendResult::Failed) == NextStep::SendAgain));
}

TEST_CASE("the number of sends and the retry budget limit the sends")
{
    CHECK((stepAfterFirstSend(Lookup, SendResult::Lost, 1) == NextStep::FailUnknown));
    CHECK((stepAfterFirstSend(Lookup, SendResult::Lost, 2, false) == NextStep::FailUnknown));
    CHECK((stepAfterFirstSend(Booking, SendResult::Refused, 1) == NextStep::RejectNotRun));
    CHECK((stepAfterFirstSend(Booking, SendResult::NotSent, 1, false) == NextStep::SendAgain));
    Attempts attempts(Booking, 1, at(1000));
    for (int n = 0; n < 3; ++n) {
        attempts.recordSend();
        CHECK((attempts.afterSend(SendResult::NotSent, at(10), true) == NextStep::SendAgain));
    }
    attempts.recordSend();
    CHECK((attempts.afterSend(SendResult::NotSent, at(10), true) == NextStep::RejectNotRun));
}

TEST_CASE("a send without a result counts towards the limit of another one")
{
    Attempts attempts(ResumableStream, 2, at(1000));
    attempts.recordSend();
    CHECK(attempts.maySendAgain(at(10)));
    CHECK_FALSE(attempts.maySendAgain(at(1000)));
    attempts.recordSend();
    attempts.recordEnd(SendResult::Misdirected);
    CHECK(attempts.maySendAgain(at(20)));
    attempts.recordSend();
    attempts.recordEnd(SendResult::Refused);
    CHECK_FALSE(attempts.maySendAgain(at(30)));
    CHECK_FALSE(attempts.mayHaveRun());
    CHECK((attempts.afterSend(SendResult::Silent, at(10), true) == NextStep::FailUnknown));
    CHECK_FALSE(Attempts(FixedStream, 2, at(1000)).maySendAgain(at(10)));
}

TEST_CASE("the caller is told not run only if every send proved it")
{
    Attempts attempts(Lookup, 3, at(1000));
    attempts.recordSend();
    CHECK((attempts.afterSend(SendResult::Lost, at(10), true) == NextStep::SendAgain));
    attempts.recordSend();
    CHECK((attempts.afterSend(SendResult::Refused, at(20), false) == NextStep::FailUnknown));
    CHECK((attempts.finalStep(at(1000)) == NextStep::FailTimedOut));
    CHECK((Attempts(Lookup, 3, at(1000)).finalStep(at(1000)) == NextStep::RejectNotRun));
}
