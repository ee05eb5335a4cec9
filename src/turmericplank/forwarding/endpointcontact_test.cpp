#include "turmericplank/forwarding/endpointcontact.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::forwarding;
using requests::LossCause;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::timeFromMilliseconds(1'000'000);
const base::ServiceName service("s");
const base::ServiceName otherService("t");
const base::EndpointId a("a");
const base::EndpointId b("b");
const base::EndpointId c("c");
using Probes = std::vector<base::EndpointId>;

EndpointContact threeEndpoints()
{
    EndpointContact contact;
    for (const auto &it : {a, b, c}) {
        contact.add(it, service);
        contact.noteConnected(it, Start);
    }
    contact.dueProbes(Start);
    return contact;
}

/// Ticks until a time and returns all probes.
Probes probesUntil(EndpointContact &contact, base::Time from, base::Time end)
{
    Probes probes;
    for (auto now = from; now <= end; now += 100ms) {
        for (const auto &it : contact.dueProbes(now)) {
            probes.push_back(it);
        }
    }
    return probes;
}

} // namespace

TEST_CASE("an endpoint is unreachable from a connection that fails until one opens")
{
    auto contact = threeEndpoints();
    contact.noteConnectFailed(a, ConnectFailure::Rejected, Start + 10ms);
    CHECK(contact.isUnreachable(a));
    CHECK_FALSE(contact.isUnreachable(b));
    CHECK_FALSE(contact.hangsSince(a));
    CHECK_FALSE(contact.isCutOff(service));
    CHECK(contact.dueProbes(Start + 100ms).empty());
    CHECK(contact.dueProbes(Start + 110ms) == Probes{a});
    CHECK(contact.dueProbes(Start + 200ms).empty()); // in progress
    contact.noteConnectFailed(a, ConnectFailure::TimedOut, Start + 210ms);
    CHECK(contact.hangsSince(a) == Start + 10ms);
    CHECK(contact.dueProbes(Start + 400ms).empty());
    CHECK(contact.dueProbes(Start + 410ms) == Probes{a});
    contact.noteConnected(a, Start + 420ms);
    CHECK_FALSE(contact.isUnreachable(a));
    CHECK_FALSE(contact.hangsSince(a));
}

TEST_CASE("a daemon whose connections hang finds out within about a second, before it has tried each endpoint")
{
    auto contact = threeEndpoints();
    contact.noteSent(a, Start + 50ms);
    contact.noteReceived(a, Start + 60ms);
    contact.noteSent(a, Start + 100ms);
    contact.noteSent(b, Start + 150ms);
    CHECK(probesUntil(contact, Start + 100ms, Start + 600ms).empty());
    CHECK(contact.dueProbes(Start + 700ms) == Probes{a, b});
    contact.noteConnectFailed(a, ConnectFailure::TimedOut, Start + 1100ms);
    CHECK_FALSE(contact.isCutOff(service));
    contact.noteConnectFailed(b, ConnectFailure::TimedOut, Start + 1100ms);
    CHECK(contact.isCutOff(service));
    CHECK(contact.hangsSince(c) == Start + 1100ms);
    contact.noteConnected(c, Start + 1500ms);
    CHECK_FALSE(contact.isCutOff(service));
    CHECK(contact.unreachableCount() == 2);
}

TEST_CASE("an endpoint that is silent for a second is no cut")
{
    auto contact = threeEndpoints();
    contact.noteSent(a, Start);
    // It still accepts connections, which is asked once in the time of silence.
    CHECK(probesUntil(contact, Start + 100ms, Start + 600ms) == Probes{a, b});
    contact.noteConnected(a, Start + 601ms);
    contact.noteConnected(b, Start + 601ms);
    CHECK(probesUntil(contact, Start + 700ms, Start + 1200ms).empty());
    CHECK_FALSE(contact.isUnreachable(a));
    contact.noteReceived(a, Start + 1250ms);
    // While another endpoint is heard, nothing is asked.
    contact.noteSent(a, Start + 1300ms);
    for (auto now = Start + 1300ms; now < Start + 4s; now += 100ms) {
        contact.noteReceived(b, now);
        CHECK(contact.dueProbes(now).empty());
    }
}

TEST_CASE("an endpoint that is lost while others answer does not make these unreachable")
{
    auto contact = threeEndpoints();
    for (auto now = Start; now < Start + 3s; now += 100ms) {
        contact.noteReceived(c, now);
        for (const auto &it : contact.dueProbes(now)) {
            contact.noteConnectFailed(it, ConnectFailure::TimedOut, now);
        }
        contact.noteConnectFailed(a, ConnectFailure::TimedOut, now);
        contact.noteConnectFailed(b, ConnectFailure::TimedOut, now);
    }
    CHECK(contact.unreachableCount() == 2);
}

TEST_CASE("the contact to one service is lost although endpoints of another one answer, and says nothing of those")
{
    const base::EndpointId d("d");
    for (const auto failure : {ConnectFailure::TimedOut, ConnectFailure::Rejected}) {
        auto contact = threeEndpoints();
        contact.add(d, otherService);
        contact.noteConnected(d, Start);
        for (auto now = Start + 100ms; now <= Start + 1s; now += 100ms) {
            contact.noteReceived(d, now);
        }
        for (const auto &it : {a, b, c}) {
            contact.noteConnectFailed(it, failure, Start + 1s);
        }
        CHECK(contact.isCutOff(service));
        CHECK(contact.cutOffServices() == std::set{service});
        CHECK_FALSE(contact.isUnreachable(d));
        CHECK(contact.unreachableCount(service) == 3);
        CHECK(contact.unreachableCount(otherService) == 0);
        CHECK_FALSE(contact.isCutOff(base::ServiceName("without endpoints")));
    }
}

TEST_CASE("a daemon that is rejected by three endpoints and hears none concludes that it reaches none, until one connection opens")
{
    constexpr int EndpointCount = 20;
    EndpointContact contact;
    const auto endpoint = [](int n) {
        return base::EndpointId(std::to_string(n));
    };
    for (int n = 0; n < EndpointCount; ++n) {
        contact.add(endpoint(n), service);
        contact.noteConnected(endpoint(n), Start);
    }
    contact.noteConnectFailed(endpoint(0), ConnectFailure::Rejected, Start + 10ms);
    contact.noteConnectFailed(endpoint(1), ConnectFailure::Rejected, Start + 20ms);
    contact.noteReceived(endpoint(2), Start + 30ms); // two endpoints have crashed
    contact.noteConnectFailed(endpoint(3), ConnectFailure::Rejected, Start + 40ms);
    contact.noteConnectFailed(endpoint(4), ConnectFailure::Rejected, Start + 50ms);
    CHECK(contact.unreachableCount() == 4);
    contact.noteConnectFailed(endpoint(5), ConnectFailure::Rejected, Start + 60ms);
    CHECK(contact.isCutOff(service));
    CHECK_FALSE(contact.hangsSince(endpoint(9)));
    contact.noteConnected(endpoint(9), Start + 200ms);
    CHECK(contact.unreachableCount() == 5);
}

TEST_CASE("a process that was paused does not take its own pause for a cut")
{
    auto contact = threeEndpoints();
    contact.noteSent(a, Start);
    CHECK(contact.dueProbes(Start + 10s).empty());
    contact.noteConnectFailed(a, ConnectFailure::TimedOut, Start + 10s);
    contact.noteConnectFailed(b, ConnectFailure::TimedOut, Start + 10s);
    CHECK_FALSE(contact.isUnreachable(c));
}

TEST_CASE("probes of many endpoints are spread over time")
{
    EndpointContact contact;
    for (int n = 0; n < 20; ++n) {
        contact.add(base::EndpointId(std::to_string(n)), service);
    }
    contact.dueProbes(Start);
    for (int n = 0; n < 20; ++n) {
        contact.noteConnectFailed(base::EndpointId(std::to_string(n)), ConnectFailure::TimedOut, Start);
    }
    CHECK(contact.dueProbes(Start + 100ms).size() == 4);
    CHECK(contact.dueProbes(Start + 200ms).size() == 4);
}

TEST_CASE("connections to three endpoints of a service that are lost at the same moment are a loss of contact, those to few or one after the other are not")
{
    auto contact = threeEndpoints();
    const base::EndpointId d("d");
    contact.add(d, otherService);
    contact.noteConnectionLost(a, Start + 100ms);
    contact.noteConnectionLost(a, Start + 101ms);
    contact.noteConnectionLost(b, Start + 190ms);
    contact.noteConnectionLost(d, Start + 191ms);
    contact.noteConnectionLost(c, Start + 300ms);
    CHECK(contact.lossCause(a, Start + 100ms) != LossCause::Contact);
    CHECK(contact.lossCause(c, Start + 300ms) != LossCause::Contact);
    CHECK(contact.lossCause(b, Start + 190ms) != LossCause::Contact);
    contact.noteConnectFailed(c, ConnectFailure::Rejected, Start + 280ms);
    CHECK(contact.lossCause(b, Start + 190ms) == LossCause::Contact);
    CHECK(contact.lossCause(c, Start + 300ms) != LossCause::Contact);
    CHECK(contact.lossCause(d, Start + 191ms) != LossCause::Contact);
    CHECK(contact.lossCause(base::EndpointId("removed"), Start) == LossCause::Endpoint);
}

TEST_CASE("a loss is that of an endpoint if another one of its service is heard after it and stays connected")
{
    auto contact = threeEndpoints();
    const base::EndpointId d("d");
    contact.add(d, otherService);
    contact.noteReceived(b, Start + 90ms);
    contact.noteConnectionLost(a, Start + 100ms);
    contact.noteReceived(a, Start + 110ms);
    contact.noteReceived(d, Start + 110ms);
    CHECK(contact.lossCause(a, Start + 100ms) == LossCause::Undecided);
    contact.noteReceived(b, Start + 120ms);
    CHECK(contact.lossCause(a, Start + 100ms) == LossCause::Endpoint);
    contact.noteConnectionLost(b, Start + 130ms); // the bytes had been read from a connection that was lost as well
    CHECK(contact.lossCause(a, Start + 100ms) == LossCause::Undecided);
}

TEST_CASE("a daemon that hears no other endpoint after a loss probes two")
{
    auto contact = threeEndpoints();
    contact.noteConnectionLost(a, Start + 100ms);
    contact.noteDoubt(a);
    CHECK(contact.dueProbes(Start + 200ms) == Probes{b, c});
    contact.noteDoubt(a);
    CHECK(contact.dueProbes(Start + 300ms).empty()); // in progress
    SUBCASE("which it reaches")
    {
        contact.noteConnected(b, Start + 310ms);
        CHECK(contact.lossCause(a, Start + 100ms) == LossCause::Endpoint);
    }
    SUBCASE("which it does not reach either")
    {
        contact.noteConnectFailed(b, ConnectFailure::Rejected, Start + 310ms);
        contact.noteConnectFailed(c, ConnectFailure::Rejected, Start + 310ms);
        CHECK(contact.lossCause(a, Start + 100ms) == LossCause::Undecided);
        contact.noteConnectFailed(a, ConnectFailure::Rejected, Start + 320ms);
        CHECK(contact.lossCause(a, Start + 100ms) == LossCause::Contact);
    }
}

TEST_CASE("endpoints that have failed for longer do not make the crash of another one a loss of contact")
{
    auto contact = threeEndpoints();
    const base::EndpointId d("d");
    contact.add(d, service);
    for (const auto &it : {b, c}) {
        contact.noteConnectFailed(it, ConnectFailure::Rejected, Start + 100ms);
        contact.noteConnectFailed(it, ConnectFailure::Rejected, Start + 500ms);
    }
    contact.noteReceived(d, Start + 450ms);
    contact.noteConnectionLost(a, Start + 500ms);
    contact.noteReceived(d, Start + 510ms);
    CHECK(contact.lossCause(a, Start + 500ms) == LossCause::Endpoint);
}
