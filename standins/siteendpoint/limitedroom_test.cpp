#include "limitedroom.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::standins::siteendpoint;
using namespace std::chrono_literals;

namespace {

base::Time at(base::Duration time)
{
    return base::timeFromMilliseconds(1'000'000) + time;
}

} // namespace

TEST_CASE("an endpoint with limited room rejects calls, and fails after too many rejections within a second")
{
    LimitedRoom room({2, 1, 2, at(1s), 3s});
    CHECK((room.admit(at(1s)) == Admission::Run));
    CHECK((room.admit(at(1s)) == Admission::Run));
    CHECK((room.admit(at(1s)) == Admission::Wait));
    CHECK((room.admit(at(1s)) == Admission::Reject));
    CHECK((room.admit(at(1900ms)) == Admission::Reject));
    CHECK((room.admit(at(2s)) == Admission::Reject));
    CHECK((room.admit(at(2100ms)) == Admission::Fail));
    CHECK((room.admit(at(5s)) == Admission::Down));
    CHECK((room.admit(at(5100ms)) == Admission::Run));
    CHECK(room.failures == 1);
    CHECK(room.rejected == 4);
}

TEST_CASE("calls that wait run when others end, and any number may wait at first")
{
    LimitedRoom room({1, 0, 0, at(1s), 3s});
    CHECK((room.admit(at(0s)) == Admission::Run));
    CHECK((room.admit(at(0s)) == Admission::Wait));
    CHECK((room.admit(at(0s)) == Admission::Wait));
    CHECK(room.finish());
    CHECK(room.finish());
    CHECK_FALSE(room.finish());
    CHECK((room.admit(at(2s)) == Admission::Run));
    CHECK((room.admit(at(2s)) == Admission::Fail));
}
