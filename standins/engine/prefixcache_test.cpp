#include "engine/prefixcache.hpp"

#include <doctest/doctest.h>

using namespace turmericplank::standins::engine;

TEST_CASE("prompts with a common beginning have the same hashes for their common blocks")
{
    const std::string common(2 * PrefixBlockBytes, 'a');
    const auto first = prefixHashes("m", common + std::string(PrefixBlockBytes, 'b'));
    const auto second = prefixHashes("m", common + std::string(PrefixBlockBytes, 'c') + "rest");
    REQUIRE(first.size() == 3);
    REQUIRE(second.size() == 3);
    CHECK(first[1] == second[1]);
    CHECK(first[2] != second[2]);
    CHECK(first[0] != first[1]);
    CHECK(first[0] != prefixHashes("n", common).front());
}

TEST_CASE("a full cache evicts the least recently used prefixes, the longest of a prompt first")
{
    PrefixCache cache(3);
    CHECK(cache.insert({"a1", "a2"}).size() == 2);
    const auto changes = cache.insert({"b1", "b2"});
    CHECK(changes.back() == CacheChange{"a2", false});
    CHECK(cache.cachedPrefixCount({"a1", "a2"}) == 1);
    CHECK(cache.cachedPrefixCount({"b1", "b2", "b3"}) == 2);
    cache.insert({"a1"});
    cache.insert({"c1", "c2"});
    CHECK(cache.contains("a1"));
    CHECK_FALSE(cache.contains("b1"));
}
