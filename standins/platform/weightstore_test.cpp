#include "platform/weightstore.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::standins::platform;
using namespace std::chrono_literals;

namespace {

const auto start = base::timeFromMilliseconds(1000);

} // namespace

TEST_CASE("model loads start no faster than the configured rate")
{
    WeightStore store({2.0, 6, 1000, 50, 6ms});
    CHECK(store.startModelLoad(1000, start) == start + 1s);
    CHECK(store.startModelLoad(1000, start) == start + 1500ms);
    CHECK(store.startModelLoad(1000, start) == start + 2s);
}

TEST_CASE("model loads slow down in proportion to the load count above the full-speed limit")
{
    WeightStore store({0, 2, 1000, 50, 6ms});
    store.startModelLoad(1000, start);
    store.startModelLoad(1000, start);
    CHECK(store.startModelLoad(1000, start) == start + 1500ms);
    store.finishModelLoad();
    store.finishModelLoad();
    CHECK(store.startModelLoad(1000, start) == start + 1s);
}

TEST_CASE("adapter loads have their own full-speed limit")
{
    WeightStore store({0, 2, 1000, 2, 6ms});
    CHECK(store.startAdapterLoad(start) == start + 6ms);
    CHECK(store.startAdapterLoad(start) == start + 6ms);
    CHECK(store.startAdapterLoad(start) == start + 9ms);
}
