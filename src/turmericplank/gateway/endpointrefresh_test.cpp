#include "turmericplank/gateway/endpointrefresh.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace std::chrono_literals;

namespace {

/// Refreshes whose reads end only by the test.
struct Refreshes
{
    Refreshes()
        : refresh(
            context, [this](const ReadCallback<EndpointsSnapshot> &callback) { reads.push_back(callback); },
            [this](const auto &entries) { noted += entries.size(); }, {.timeout = 100ms, .minInterval = 5ms})
    {
    }

    void begin()
    {
        refresh.refresh([this](bool isRead) { ends.push_back(isRead); });
    }

    void runFor(base::Duration time)
    {
        context.restart();
        context.run_for(time);
    }

    boost::asio::io_context context;
    std::vector<ReadCallback<EndpointsSnapshot>> reads;
    std::size_t noted = 0; ///< entries
    std::vector<bool> ends;
    EndpointRefresh refresh;
};

using Ends = std::vector<bool>;

} // namespace

TEST_CASE("a refresh ends with a read that began after it, and refreshes that come together share one")
{
    Refreshes it;
    it.begin();
    it.begin();
    it.runFor(2ms);
    REQUIRE(it.reads.size() == 1);
    it.begin();
    EndpointsSnapshot snapshot;
    snapshot.entries.emplace_back();
    it.reads[0](snapshot);
    CHECK(it.ends == Ends{true, true});
    CHECK(it.noted == 1);
    it.runFor(10ms);
    REQUIRE(it.reads.size() == 2);
    it.reads[1](tl::unexpected(TableFailure::Unavailable));
    CHECK(it.ends == Ends{true, true, false});
    CHECK(it.noted == 1);
}

TEST_CASE("a refresh whose read does not end fails in time")
{
    Refreshes it;
    it.begin();
    it.runFor(120ms);
    CHECK(it.ends == Ends{false});
    it.reads[0](EndpointsSnapshot{});
    CHECK(it.ends == Ends{false});
}

TEST_CASE("refreshes succeed as long as the store answers each read within their timeout, also those that come during a read")
{
    // Each read takes 80 ms, as 240 ms of a slow store to 300 ms.
    Refreshes it;
    it.begin();
    it.runFor(10ms);
    it.begin();
    it.runFor(70ms);
    it.reads[0](EndpointsSnapshot{});
    it.runFor(20ms);
    REQUIRE(it.reads.size() == 2);
    it.reads[1](EndpointsSnapshot{});
    CHECK(it.ends == Ends{true, true});
}

TEST_CASE("many refreshes cause few reads, and none once all of them have failed")
{
    Refreshes it;
    for (int n = 0; n < 50; ++n) {
        it.begin();
        it.runFor(1ms);
    }
    CHECK(it.reads.size() <= 15);
    const auto reads = it.reads.size();
    it.runFor(200ms);
    CHECK(it.reads.size() <= reads + 1);
    CHECK(it.ends.size() == 50);
}
