#include "turmericplank/gateway/peerstatus.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace turmericplank;
using namespace turmericplank::gateway;

TEST_CASE("an encoded status decodes to the same status")
{
    PeerStatus status;
    status.from = base::DaemonId("entry-1");
    status.peerAddress = {"10.0.0.1", 7380};
    status.callerAddress = {"10.0.0.1", 8149};
    status.zone = base::ZoneName("a");
    status.incarnation = base::Incarnation(77);
    status.isReady = true;
    status.term = base::Term(3);
    status.revision = base::Revision(9);
    status.isWatchingConfiguration = false;
    status.storeEra = base::StoreEra(2);
    status.endpointWork = {{base::EndpointId("e1"), 4, 1, 2, 300, 400}};
    status.drainingEndpoints = {{base::EndpointId("e2"), base::Incarnation(4)}};
    CHECK(decodePeerStatus(encode(status)) == status);
    status.rejectionTolerances = {{base::ServiceName("s"), 4, std::chrono::milliseconds(1500)}, {base::ServiceName("t"), 0, {}}};
    status.rateLimits = {{base::EndpointId("e1"), 1.5, std::chrono::milliseconds(20), 0.75}, {base::EndpointId("e2"), std::nullopt, {}, 0}};
    status.engines = {{base::EndpointId("e1"), base::Incarnation(5), 6, {{base::ModelName("m"), {"a1", "a2"}}, {base::ModelName("n"), {}}}}};
    CHECK(decodePeerStatus(encode(status)) == status);
    status.unreachableServices = {base::ServiceName("s"), base::ServiceName("t")};
    CHECK(decodePeerStatus(encode(status)) == status);
    status.isCutOff = true;
    CHECK(decodePeerStatus(encode(status)) == status);
    status.demand.emplace();
    CHECK(decodePeerStatus(encode(status)) == status);
    status.demand->models = {{base::ModelName("m"), {10, 2000}}};
    status.demand->adapters = {{base::AdapterName("m/a1"), 4}};
    CHECK(decodePeerStatus(encode(status)) == status);
}

TEST_CASE("a status of an earlier build, without members that were added since, is decoded")
{
    auto json = nlohmann::json::from_msgpack(encode(PeerStatus()));
    for (const auto *member : {"era", "cut_off", "unreachable", "tolerances", "rates", "watch"}) {
        json.erase(member);
    }
    json["added_later"] = {{"x", 1}};
    const auto bytes = nlohmann::json::to_msgpack(json);
    CHECK(decodePeerStatus({reinterpret_cast<const char *>(bytes.data()), bytes.size()}) == PeerStatus());
}

TEST_CASE("malformed or truncated statuses are rejected")
{
    CHECK(decodePeerStatus("").error() == MessageDecodeFailure::Malformed);
    CHECK(decodePeerStatus("\x81\xa4\x66rom\x01").error() == MessageDecodeFailure::Malformed);
    const auto whole = encode(PeerStatus());
    CHECK(decodePeerStatus(std::string_view(whole).substr(0, whole.size() / 2)).error() == MessageDecodeFailure::Malformed);
}
