#include "platform/weightstore.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::standins::platform;
using namespace std::chrono_literals;

namespace {

const auto Start = base::timeFromMilliseconds(1000);

} // namespace

TEST_CASE("loads start no faster than the rate")
{
    WeightStore store({2.0, 6, 1000, 50, 6ms});
    CHECK(store.startModel(1000, Start) == Start + 1s);
    CHECK(store.startModel(1000, Start) == Start + 1500ms);
    CHECK(store.startModel(1000, Start) == Start + 2s);
}

TEST_CASE("loads slow down in proportion beyond the full-speed width")
{
    WeightStore store({0, 2, 1000, 50, 6ms});
    store.startModel(1000, Start);
    store.startModel(1000, Start);
    CHECK(store.startModel(1000, Start) == Start + 1500ms);
    store.finishModel();
    store.finishModel();
    CHECK(store.startModel(1000, Start) == Start + 1s);
}

TEST_CASE("adapters slow down beyond their own width")
{
    WeightStore store({0, 2, 1000, 2, 6ms});
    CHECK(store.startAdapter(Start) == Start + 6ms);
    CHECK(store.startAdapter(Start) == Start + 6ms);
    CHECK(store.startAdapter(Start) == Start + 9ms);
}
