#include <doctest/doctest.h>

#include "testsite.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;

namespace {

accounts::Account account(const std::string &name, const std::vector<std::string> &keys)
{
    accounts::Account it;
    it.name = base::CallerName(name);
    for (const auto &key : keys) {
        it.keys.push_back(accounts::digestKey(key));
    }
    return it;
}

} // namespace

TEST_CASE("endpoints learn the account of a call, and a call without the key of an account reaches none")
{
    TestSite site(firstPort);
    site.setAccounts(2, {account("acme", {"k1", "k2"}), account("other", {"k3"})});
    site.a.scripts = {events(1) + step(EngineStep::Kind::End), events(1) + step(EngineStep::Kind::End), events(1) + step(EngineStep::Kind::End)};
    CHECK(site.call({{"Request-Id", "c1"}, {"Key", "k2"}})->status == 200);
    CHECK(site.call({{"Request-Id", "c2"}, {"Key", "k3"}})->status == 200);
    REQUIRE(site.a.receivedHeaders.size() == 2);
    CHECK(header(site.a.receivedHeaders[0], "Account") == "acme");
    CHECK(header(site.a.receivedHeaders[1], "Account") == "other");
    CHECK(site.call({{"Request-Id", "c3"}, {"Key", "k4"}})->status == 401);
    CHECK(site.call({{"Request-Id", "c4"}})->status == 401);
    CHECK(site.a.received.size() + site.b.received.size() == 2);
}

TEST_CASE("a public route needs no key, and its endpoints learn no account from the caller")
{
    TestSite site(firstPort);
    site.setAccounts(2, {account("acme", {"k1"})});
    site.a.scripts = {events(1) + step(EngineStep::Kind::End), events(1) + step(EngineStep::Kind::End)};
    site.call({{"Request-Id", "c1"}}, std::chrono::seconds(5), "/o/x");
    site.call({{"Request-Id", "c2"}, {"Key", "k1"}}, std::chrono::seconds(5), "/o/x");
    REQUIRE(site.a.receivedHeaders.size() == 2);
    CHECK(header(site.a.receivedHeaders[0], "Account").empty());
    CHECK(header(site.a.receivedHeaders[1], "Account") == "acme");
}

TEST_CASE("a site without accounts ignores keys")
{
    TestSite site(firstPort);
    site.a.scripts = {events(1) + step(EngineStep::Kind::End)};
    CHECK(site.call({{"Request-Id", "c1"}, {"Key", "k1"}})->status == 200);
    CHECK(header(site.a.receivedHeaders.at(0), "Account").empty());
    CHECK(site.admissions.empty());
}

TEST_CASE("a key works from the version that adds it until the one that removes it, and never again")
{
    TestSite site(firstPort);
    const auto status = [&site](const std::string &key) {
        return site.call({{"Request-Id", "c1"}, {"Key", key}})->status;
    };
    site.a.scripts = {events(1) + step(EngineStep::Kind::End), events(1) + step(EngineStep::Kind::End), events(1) + step(EngineStep::Kind::End)};
    site.setAccounts(2, {account("acme", {"k1"})});
    CHECK(status("k1") == 200);
    CHECK(status("k2") == 401);
    site.setAccounts(4, {account("acme", {"k2"})});
    CHECK(status("k1") == 401);
    CHECK(status("k2") == 200);
    site.setAccounts(3, {account("acme", {"k1"})}); // arrives late, from a peer
    CHECK(status("k1") == 401);
    site.setAccounts(5, {account("acme", {})});
    CHECK(status("k2") == 401);
}

TEST_CASE("a stream goes on after its account has lost its key")
{
    TestSite site(firstPort);
    site.setAccounts(2, {account("acme", {"k1"})});
    site.a.scripts = {events(2) + pause(std::chrono::milliseconds(60)) + events(2) + step(EngineStep::Kind::End)};
    const auto exchange = site.begin({{"Request-Id", "c1"}, {"Key", "k1"}});
    site.runFor(std::chrono::milliseconds(30));
    CHECK(exchange->status == 200);
    site.setAccounts(3, {});
    site.runFor(std::chrono::milliseconds(300));
    CHECK(exchange->isComplete);
}

TEST_CASE("a call beyond its account's limit is refused before it reaches an endpoint")
{
    TestSite site(firstPort);
    site.setAccounts(2, {account("acme", {"k1"})});
    site.isLimitReached = true;
    CHECK(site.call({{"Request-Id", "c1"}, {"Key", "k1"}})->status == 429);
    CHECK(site.a.received.empty());
}

TEST_CASE("calls that never ran do not count toward the limit")
{
    TestSite site(firstPort);
    site.setAccounts(2, {account("acme", {"k1"})});
    const base::CallerName acme("acme");
    CHECK(site.call({{"Request-Id", "c1"}, {"Key", "k1"}})->status == 503); // rejected by both engines
    CHECK(site.admissions[acme] == 0);
    site.a.scripts = {{}, {}, {}};
    site.a.scripts.resize(site.a.received.size());
    site.a.scripts.push_back(step(EngineStep::Kind::Accept) + events(1) + step(EngineStep::Kind::End));
    site.call({{"Request-Id", "c2"}, {"Key", "k1"}});
    CHECK(site.admissions[acme] == 1);
}
