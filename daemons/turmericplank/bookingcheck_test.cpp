#include "bookingcheck.hpp"

#include <doctest/doctest.h>

using namespace turmericplank::cli;

TEST_CASE("each kind of violation of the guarantees for bookings is counted")
{
    BookingCheck check;
    check.noteAnswered("fine", "a");
    check.noteAnswered("fine", "a");
    check.noteRuns("fine", 1);
    check.noteUnknown("open");
    check.noteRuns("open", 1);
    check.noteNotRun("refused");
    CHECK(check.faults() == BookingFaults());

    check.noteAnswered("twice", "a");
    check.noteRuns("twice", 1);
    check.noteRuns("twice", 1);
    check.noteNotRun("ran");
    check.noteRuns("ran", 1);
    check.noteAnswered("lost", "a");
    check.noteAnswered("unequal", "a");
    check.noteAnswered("unequal", "b");
    check.noteRuns("unequal", 1);
    check.noteRuns("of somebody else", 9);
    CHECK(check.faults() == BookingFaults{1, 1, 1, 1});
}
