#include "turmericplank/daemon/daemonrecordtext.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::daemon;

TEST_CASE("a daemon's row survives a round trip, and a malformed row is rejected")
{
    const membership::DaemonRecord record{base::DaemonId("entry-1"), base::ZoneName("r/a"), {"10.0.0.1", 80}, {"10.0.0.1", 81}};
    const auto text = daemonRecordText(record);
    CHECK((parseDaemonRecord(text) == record));
    for (const auto *damaged : {"", "[]", "{}", R"({"id":"x","caller_address":"y","peer_address":"10.0.0.1:81"})", R"({"id":1})"}) {
        CHECK_FALSE(parseDaemonRecord(damaged));
    }
}
