#include "turmericplank/accounts/accounttable.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::accounts;

namespace {

Account account(const std::string &name, std::initializer_list<std::string_view> keys)
{
    Account it;
    it.name = base::CallerName(name);
    for (const auto key : keys) {
        it.keys.push_back(digestKey(key));
    }
    return it;
}

} // namespace

TEST_CASE("an account is found by each of its keys, and by no other text")
{
    const std::vector<Account> accounts{account("a", {"k1", "k2"}), account("b", {"k3"}), account("c", {})};
    const AccountTable table(accounts);
    CHECK(table.find(digestKey("k1")) == &accounts[0]);
    CHECK(table.find(digestKey("k2")) == &accounts[0]);
    CHECK(table.find(digestKey("k3")) == &accounts[1]);
    for (const auto *it : {"", "k", "k4", "K1", "k1 ", "k1k2", "a"}) {
        CHECK(table.find(digestKey(it)) == nullptr);
    }
    CHECK(AccountTable().find(digestKey("k1")) == nullptr);
}

TEST_CASE("a key of two accounts belongs to the first one at all daemons")
{
    const std::vector<Account> accounts{account("a", {"k1"}), account("b", {"k1", "k2"})};
    const AccountTable table(accounts);
    CHECK(table.find(digestKey("k1")) == &accounts[0]);
    CHECK(table.find(digestKey("k2")) == &accounts[1]);
}

TEST_CASE("ten thousand accounts are told apart")
{
    std::vector<Account> accounts;
    for (int n = 0; n < 10000; ++n) {
        accounts.push_back(account("a" + std::to_string(n), {"key-" + std::to_string(n)}));
    }
    const AccountTable table(accounts);
    for (int n = 0; n < 10000; n += 7) {
        CHECK(table.find(digestKey("key-" + std::to_string(n))) == &accounts[static_cast<std::size_t>(n)]);
    }
    CHECK(table.find(digestKey("key-10000")) == nullptr);
}

TEST_CASE("the use of a call is counted in the unit of its account's limit")
{
    const UsageLimit tokens{UsageUnit::Tokens, 1000, 1000, 200};
    CHECK(usageOf(tokens, 1540) == 1540);
    CHECK(usageOf(tokens, std::nullopt) == 200);
    CHECK(usageOf(tokens, 0) == 1);
    CHECK(usageOf(UsageLimit{UsageUnit::Calls, 10, 10, 200}, 1540) == 1);
}

TEST_CASE("the priority of accounts goes before that of routes at engines")
{
    const std::vector<std::uint32_t> priorities{1, 4};
    CHECK(urgencyOf(priorities, 1, 5) < urgencyOf(priorities, 4, 0));
    CHECK(urgencyOf(priorities, 1, 0) < urgencyOf(priorities, 1, 1));
    CHECK(urgencyOf(priorities, 4, 9) == 9);
    CHECK(urgencyOf(priorities, std::nullopt, 0) == urgencyOf(priorities, 4, 0));
    CHECK(urgencyOf({0, 1, 2}, 2, 9) == 8);
}

TEST_CASE("sites whose accounts have one priority, or none, order calls by their routes")
{
    for (const std::uint32_t route : {0, 3, 9}) {
        CHECK(urgencyOf({}, std::nullopt, route) == route);
        CHECK(urgencyOf({1}, 1, route) == route);
    }
}
