#include "turmericplank/discovery/endpointcatalog.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::discovery;

namespace {

EndpointEntry entry(const std::string &id, std::uint64_t incarnation = 1)
{
    EndpointEntry it;
    it.id = base::EndpointId(id);
    it.address = {"10.0.0.1", 80};
    it.incarnation = base::Incarnation(incarnation);
    return it;
}

EndpointEntry renewedEntry(const std::string &id, std::uint64_t heartbeat, bool isLeaving)
{
    auto it = entry(id);
    it.heartbeat = heartbeat;
    it.isLeaving = isLeaving;
    return it;
}

base::Time at(std::int64_t milliseconds)
{
    return base::timeFromMilliseconds(milliseconds);
}

} // namespace

TEST_CASE("an entry missing from regular reads is gone")
{
    EndpointCatalog catalog;
    catalog.apply({entry("a"), entry("b")}, at(0));
    const auto changes = catalog.apply({entry("a")}, at(1000));
    REQUIRE(changes.size() == 1);
    CHECK((changes[0].event == EndpointEvent::Gone));
    CHECK(changes[0].entry.id.text() == "b");
    CHECK(catalog.entries().size() == 1);
}

TEST_CASE("entries that expired during an outage are kept until their endpoints had time to rewrite them")
{
    EndpointCatalog catalog;
    catalog.apply({entry("a"), entry("b")}, at(0));
    catalog.noteReadFailed();
    CHECK(catalog.apply({}, at(10000)).empty());
    CHECK(catalog.apply({entry("a")}, at(11000)).empty());
    CHECK(catalog.entries().size() == 2);
    CHECK(catalog.keepsMissingUntil() == at(12000));
    CHECK(catalog.apply({entry("a")}, at(11999)).empty());
    const auto changes = catalog.apply({entry("a")}, at(12000));
    REQUIRE(changes.size() == 1);
    CHECK((changes[0].event == EndpointEvent::Gone));
}

TEST_CASE("an entry that is missing after a failed read is gone if the outage was too short for entries to expire")
{
    EndpointCatalog catalog;
    catalog.apply({entry("a"), entry("b")}, at(0));
    catalog.noteReadFailed();
    CHECK(catalog.apply({entry("a")}, at(2300)).size() == 1);
    // A failure before the last read tells nothing of the time since then.
    CHECK(catalog.apply({}, at(8000)).size() == 1);
}

TEST_CASE("an endpoint that was leaving before an outage is not kept")
{
    EndpointCatalog catalog;
    auto leaving = entry("a");
    leaving.isLeaving = true;
    catalog.apply({entry("a")}, at(0));
    CHECK((catalog.apply({leaving}, at(1000)).front().event == EndpointEvent::Leaving));
    catalog.noteReadFailed();
    CHECK((catalog.apply({}, at(10000)).front().event == EndpointEvent::Gone));
}

TEST_CASE("a restart under the same name is reported, an outdated read is ignored")
{
    EndpointCatalog catalog;
    catalog.apply({entry("a", 1)}, at(0));
    CHECK((catalog.apply({entry("a", 2)}, at(1000)).front().event == EndpointEvent::Restarted));
    CHECK(catalog.apply({entry("a", 1)}, at(1100)).empty());
    CHECK(catalog.entries().at(base::EndpointId("a")).incarnation == base::Incarnation(2));
}

TEST_CASE("endpoints that an older copy of the table does not list are kept until they had time to register again")
{
    EndpointCatalog catalog;
    catalog.apply({entry("a"), entry("new")}, at(0));
    catalog.noteRestored(at(900));
    CHECK(catalog.apply({entry("a")}, at(1000)).empty());
    CHECK(catalog.entries().size() == 2);
    CHECK(catalog.apply({entry("a"), entry("new")}, at(2000)).empty());
    CHECK(catalog.apply({entry("a"), entry("new")}, at(3000)).empty());
    const auto changes = catalog.apply({entry("a")}, at(4000));
    REQUIRE(changes.size() == 1);
    CHECK((changes[0].event == EndpointEvent::Gone));
}

TEST_CASE("an older copy of the table does not bring back endpoints that were seen leaving or gone")
{
    EndpointCatalog catalog;
    catalog.apply({renewedEntry("leaving", 3, false), renewedEntry("gone", 7, false)}, at(0));
    catalog.apply({renewedEntry("leaving", 4, true)}, at(1000));
    catalog.noteRestored(at(1500));
    CHECK(catalog.apply({renewedEntry("leaving", 3, false), renewedEntry("gone", 6, false)}, at(2000)).empty());
    REQUIRE(catalog.entries().size() == 1);
    CHECK(catalog.entries().begin()->second.isLeaving);
    // The endpoint itself has written since, so it is back.
    const auto changes = catalog.apply({renewedEntry("leaving", 4, true), renewedEntry("gone", 8, false)}, at(3000));
    REQUIRE(changes.size() == 1);
    CHECK((changes[0].event == EndpointEvent::Appeared));
    CHECK(changes[0].entry.id.text() == "gone");
}

TEST_CASE("a restarted endpoint is used although an older copy of the table lists it")
{
    EndpointCatalog catalog;
    catalog.apply({entry("a", 1)}, at(0));
    catalog.apply({}, at(1000));
    catalog.noteRestored(at(1500));
    CHECK(catalog.apply({entry("a", 1)}, at(2000)).empty());
    CHECK(catalog.apply({entry("a", 2)}, at(3000)).size() == 1);
}

TEST_CASE("an entry that was read or written earlier and comes later does not bring back an endpoint that is leaving")
{
    EndpointCatalog catalog;
    catalog.apply({renewedEntry("a", 3, false)}, at(0));
    catalog.apply({renewedEntry("a", 4, true)}, at(1000));
    CHECK(catalog.apply({renewedEntry("a", 3, false)}, at(1100)).empty());
    CHECK(catalog.entries().begin()->second.isLeaving);
    const auto changes = catalog.apply({renewedEntry("a", 5, false)}, at(2000));
    REQUIRE(changes.size() == 1);
    CHECK((changes[0].event == EndpointEvent::Returned));
}

TEST_CASE("an endpoint that late entries do not list yet is used again at the next read, although its entry has not changed")
{
    EndpointCatalog catalog;
    catalog.apply({renewedEntry("a", 3, false)}, at(0));
    catalog.apply({renewedEntry("a", 3, false), renewedEntry("new", 1, false)}, at(1000));
    catalog.apply({renewedEntry("a", 3, false)}, at(1100));
    CHECK(catalog.apply({renewedEntry("a", 3, false), renewedEntry("new", 1, false)}, at(2000)).size() == 1);
    CHECK(catalog.entries().size() == 2);
}
