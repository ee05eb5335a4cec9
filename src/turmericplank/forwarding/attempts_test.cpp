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

NextStep firstEnd(CallKind kind, SendResult end, std::uint32_t sendLimit = 2, bool isRetryAllowed = true)
{
    Attempts attempts(kind, sendLimit, at(1000));
    attempts.recordSend();
    return attempts.afterSend(end, at(10), isRetryAllowed);
}

} // namespace

TEST_CASE("a call that may run once is never sent again once it may have run")
{
    for (const auto kind : {Booking, FixedStream}) {
        CHECK((firstEnd(kind, SendResult::Lost) == NextStep::FailUnknown));
        CHECK((firstEnd(kind, SendResult::Silent) == NextStep::FailUnknown));
        CHECK((firstEnd(kind, SendResult::Failed) == NextStep::RelayFailure));
        CHECK((firstEnd(kind, SendResult::Refused) == NextStep::SendAgain));
        CHECK((firstEnd(kind, SendResult::NotSent) == NextStep::SendAgain));
        CHECK((firstEnd(kind, SendResult::Misdirected) == NextStep::SendAgain));
    }
}

TEST_CASE("repeatable calls and resumable streams go on elsewhere")
{
    CHECK((firstEnd(Lookup, SendResult::Lost) == NextStep::SendAgain));
    CHECK((firstEnd(Lookup, SendResult::Failed) == NextStep::SendAgain));
    CHECK((firstEnd(ResumableStream, SendResult::Silent) == NextStep::SendAgain));
    CHECK((firstEnd(ResumableStream, SendResult::Failed) == NextStep::SendAgain));
}

TEST_CASE("the number of endpoints and the retry budget bound the sends")
{
    CHECK((firstEnd(Lookup, SendResult::Lost, 1) == NextStep::FailUnknown));
    CHECK((firstEnd(Lookup, SendResult::Lost, 2, false) == NextStep::FailUnknown));
    CHECK((firstEnd(Booking, SendResult::Refused, 1) == NextStep::RefuseNotRun));
    CHECK((firstEnd(Booking, SendResult::NotSent, 1, false) == NextStep::SendAgain));
    Attempts attempts(Booking, 1, at(1000));
    for (int n = 0; n < 3; ++n) {
        attempts.recordSend();
        CHECK((attempts.afterSend(SendResult::NotSent, at(10), true) == NextStep::SendAgain));
    }
    attempts.recordSend();
    CHECK((attempts.afterSend(SendResult::NotSent, at(10), true) == NextStep::RefuseNotRun));
}

TEST_CASE("not run is claimed only with a proof of every send")
{
    Attempts attempts(Lookup, 3, at(1000));
    attempts.recordSend();
    CHECK((attempts.afterSend(SendResult::Lost, at(10), true) == NextStep::SendAgain));
    attempts.recordSend();
    CHECK((attempts.afterSend(SendResult::Refused, at(20), false) == NextStep::FailUnknown));
    CHECK((attempts.finalStep(at(1000)) == NextStep::FailTimedOut));
    CHECK((Attempts(Lookup, 3, at(1000)).finalStep(at(1000)) == NextStep::RefuseNotRun));
}
