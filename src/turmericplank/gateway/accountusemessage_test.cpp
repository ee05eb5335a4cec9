#include "turmericplank/gateway/accountusemessage.hpp"

#include <limits>

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;

TEST_CASE("reports and grants of accounts are what was sent")
{
    const std::vector<accounts::AccountUse> uses{{base::CallerName("acme"), 1540, 1200.5}, {base::CallerName("b"), 0, 0}};
    CHECK(decodeAccountUses(encode(uses)).value() == uses);
    const std::vector<accounts::UsageGrant> grants{{base::CallerName("acme"), 0.25, 0.5}};
    CHECK(decodeUsageGrants(encode(grants)).value() == grants);
    CHECK(decodeUsageGrants(encode(std::vector<accounts::UsageGrant>())).value().empty());
}

TEST_CASE("malformed reports of accounts are refused whole")
{
    const auto whole = encode(std::vector<accounts::AccountUse>{{base::CallerName("acme"), 1540, 1200}});
    for (std::size_t n = 0; n < whole.size(); ++n) {
        CHECK_FALSE(decodeAccountUses(whole.substr(0, n)).has_value());
    }
    CHECK_FALSE(decodeAccountUses(encode(std::vector<accounts::AccountUse>{{base::CallerName("a"), -1, 0}})).has_value());
    CHECK_FALSE(decodeAccountUses(encode(std::vector<accounts::AccountUse>{{base::CallerName("a"), std::numeric_limits<double>::infinity(), 0}})).has_value());
    CHECK_FALSE(decodeUsageGrants("nothing").has_value());
}
