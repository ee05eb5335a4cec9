#include "turmericplank/routing/rejectionallowance.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::routing;
using namespace std::chrono_literals;

namespace {

const base::ServiceName service{"s"};
const base::EndpointId endpoint{"e1"};
const std::vector<base::DaemonId> daemons{base::DaemonId("d1"), base::DaemonId("d2"), base::DaemonId("d3")};

base::Time at(base::Duration time)
{
    return base::timeFromMilliseconds(1'000'000) + time;
}

std::vector<base::DaemonId> othersOf(std::size_t self, std::size_t count = daemons.size())
{
    std::vector<base::DaemonId> others(daemons.begin(), daemons.begin() + static_cast<std::ptrdiff_t>(count));
    std::erase(others, daemons[self]);
    return others;
}

/// The allowance of a daemon that has known the others for long.
RejectionAllowance allowanceOf(std::size_t self, std::uint32_t slots, std::uint32_t tolerance)
{
    RejectionAllowance allowance;
    allowance.setDaemons(daemons[self], othersOf(self), at(-1min));
    allowance.setEndpoints(service, {{endpoint, slots}}, tolerance);
    return allowance;
}

EndpointWork work(std::uint32_t calls)
{
    return {endpoint, calls};
}

/// Number of calls that a daemon may have on the endpoint.
std::uint32_t maxCalls(RejectionAllowance &allowance, const PeerWork &peers, base::Time now)
{
    std::uint32_t calls = 0;
    while (calls < 100 && allowance.maySend(endpoint, work(calls), peers, false, now)) {
        ++calls;
    }
    return calls;
}

PeerWork peerWork(std::size_t self, std::uint32_t calls)
{
    PeerWork peers;
    for (const auto &it : othersOf(self)) {
        peers[it] = work(calls);
    }
    return peers;
}

} // namespace

TEST_CASE("endpoints without a limit get any number of calls")
{
    RejectionAllowance allowance;
    CHECK(maxCalls(allowance, {}, at(0s)) == 100);
    allowance.setEndpoints(service, {{endpoint, 1}}, 1);
    CHECK(maxCalls(allowance, {}, at(0s)) < 100);
    allowance.removeService(service);
    CHECK(maxCalls(allowance, {}, at(0s)) == 100);
}

TEST_CASE("the slots of an endpoint are divided among the daemons without a remainder")
{
    std::uint32_t sum = 0;
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        auto allowance = allowanceOf(n, 16, 4);
        const auto calls = maxCalls(allowance, peerWork(n, 5), at(0s));
        CHECK(calls >= 5);
        sum += calls;
    }
    CHECK(sum == 16);
}

TEST_CASE("daemons that are not heard keep their shares")
{
    auto allowance = allowanceOf(0, 15, 4);
    CHECK(maxCalls(allowance, {}, at(0s)) == 5);
}

TEST_CASE("a daemon that has had no calls for some time keeps one slot, and the others take the rest step by step until it has calls")
{
    auto allowance = allowanceOf(0, 30, 4);
    PeerWork peers{{daemons[1], work(10)}, {daemons[2], work(0)}};
    CHECK(maxCalls(allowance, peers, at(0s)) == 10);
    const auto first = maxCalls(allowance, peers, at(2s));
    CHECK(first > 10);
    CHECK(first <= 30 - 10 - 1);
    peers[daemons[2]] = work(1);
    CHECK_FALSE(allowance.maySend(endpoint, work(first), peers, false, at(3s)));
    CHECK_FALSE(allowance.maySend(endpoint, work(10), peers, false, at(3s)));
    CHECK(allowance.maySend(endpoint, work(9), peers, false, at(3s)));
}

TEST_CASE("a daemon whose slots others use may send at least one call")
{
    auto allowance = allowanceOf(0, 30, 4);
    const PeerWork peers{{daemons[1], work(19)}, {daemons[2], work(10)}};
    CHECK(maxCalls(allowance, peers, at(0s)) == 1);
}

TEST_CASE("after its part of the tolerated rejections, a daemon sends no more calls until the second is over")
{
    auto allowance = allowanceOf(0, 15, 3);
    const auto peers = peerWork(0, 5);
    allowance.noteRejected(endpoint, 4, at(0s));
    CHECK(maxCalls(allowance, peers, at(999ms)) == 0);
    CHECK(maxCalls(allowance, peers, at(1s)) == 4);
}

TEST_CASE("the share of a daemon that ends goes to the others slowly, and that of a daemon that joins at once")
{
    auto allowance = allowanceOf(0, 15, 4);
    auto peers = peerWork(0, 5);
    CHECK(maxCalls(allowance, peers, at(0s)) == 5);
    peers.erase(daemons[2]);
    peers[daemons[1]] = work(7);
    allowance.setDaemons(daemons[0], othersOf(0, 2), at(1s));
    CHECK(maxCalls(allowance, peers, at(1s)) == 5);
    std::uint32_t calls = 5;
    for (auto now = at(1s); now < at(30s); now += 100ms) {
        const auto next = maxCalls(allowance, peers, now);
        CHECK(next <= calls + 1);
        calls = next;
    }
    CHECK(calls == 8);
    allowance.setDaemons(daemons[0], othersOf(0), at(30s));
    CHECK(allowance.maySend(endpoint, work(4), peerWork(0, 5), false, at(30s)));
    CHECK_FALSE(allowance.maySend(endpoint, work(5), peerWork(0, 5), false, at(30s)));
}

TEST_CASE("a daemon that has just started does not take all slots before it knows the others")
{
    RejectionAllowance allowance;
    allowance.setDaemons(daemons[0], {}, at(0s));
    allowance.setEndpoints(service, {{endpoint, 15}}, 4);
    CHECK(maxCalls(allowance, {}, at(0s)) == 1);
    allowance.setDaemons(daemons[0], othersOf(0), at(1s));
    CHECK(maxCalls(allowance, peerWork(0, 5), at(2s)) == 5);
}

TEST_CASE("a call that has been rejected once is not sent to an endpoint that is nearly full")
{
    auto allowance = allowanceOf(0, 15, 4);
    CHECK(allowance.maySend(endpoint, work(4), peerWork(0, 5), false, at(0s)));
    CHECK_FALSE(allowance.maySend(endpoint, work(4), peerWork(0, 5), true, at(0s)));
    CHECK(allowance.maySend(endpoint, work(0), peerWork(0, 5), true, at(0s)));
}
