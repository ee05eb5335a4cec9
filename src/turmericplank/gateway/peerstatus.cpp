#include "turmericplank/gateway/peerstatus.hpp"

#include <nlohmann/json.hpp>

namespace turmericplank::gateway {

namespace {

using Json = nlohmann::json;

Json modelsToJson(const discovery::HeldModels &models)
{
    auto json = Json::object();
    for (const auto &[name, adapters] : models) {
        json[name.text()] = adapters;
    }
    return json;
}

discovery::HeldModels modelsFromJson(const Json &json)
{
    discovery::HeldModels models;
    for (const auto &[name, adapters] : json.items()) {
        models.emplace(base::ModelName(name), adapters.get<std::set<std::string>>());
    }
    return models;
}

/// An invalid address becomes an empty one, to which nothing is sent.
base::Address addressFromJson(const Json &json)
{
    return base::parseAddress(json.get<std::string>()).value_or(base::Address());
}

PeerStatus fromJson(const Json &json)
{
    PeerStatus status;
    status.from = base::DaemonId(json.at("from").get<std::string>());
    status.peerAddress = addressFromJson(json.at("peers"));
    status.callerAddress = addressFromJson(json.at("callers"));
    status.zone = base::ZoneName(json.at("zone").get<std::string>());
    status.incarnation = base::Incarnation(json.at("inc").get<std::uint64_t>());
    status.isReady = json.at("ready").get<bool>();
    status.isDraining = json.at("leaving").get<bool>();
    status.isCutOff = json.value("cut_off", false); // absent in messages of earlier builds
    for (const auto &it : json.value("unreachable", Json::array())) { // absent in messages of earlier builds
        status.unreachableServices.insert(base::ServiceName(it.get<std::string>()));
    }
    status.term = base::Term(json.at("term").get<std::uint64_t>());
    status.revision = base::Revision(json.at("rev").get<std::uint64_t>());
    status.isWatchingConfiguration = json.value("watch", true); // absent in messages of earlier builds
    status.storeEra = base::StoreEra(json.value("era", std::uint64_t(0))); // absent in messages of earlier builds
    for (const auto &it : json.at("work")) {
        status.endpointWork.push_back({base::EndpointId(it.at(0).get<std::string>()), it.at(1).get<std::uint32_t>(), it.at(2).get<std::uint32_t>(),
                                       it.at(3).get<std::uint32_t>(), it.at(4).get<std::uint32_t>(), it.at(5).get<std::uint32_t>()});
    }
    for (const auto &it : json.at("gone")) {
        status.drainingEndpoints.push_back({base::EndpointId(it.at(0).get<std::string>()), base::Incarnation(it.at(1).get<std::uint64_t>())});
    }
    for (const auto &it : json.at("engines")) {
        status.engines.push_back({base::EndpointId(it.at(0).get<std::string>()), base::Incarnation(it.at(1).get<std::uint64_t>()),
                                  it.at(2).get<std::uint64_t>(), modelsFromJson(it.at(3))});
    }
    for (const auto &it : json.value("tolerances", Json::array())) { // absent in messages of earlier builds
        status.rejectionTolerances.push_back(
            {base::ServiceName(it.at(0).get<std::string>()), it.at(1).get<std::uint32_t>(), std::chrono::milliseconds(it.at(2).get<std::uint32_t>())});
    }
    for (const auto &it : json.value("rates", Json::array())) { // absent in messages of earlier builds
        const auto callsPerSecond = it.at(1).is_null() ? std::nullopt : std::optional(it.at(1).get<double>());
        status.rateLimits.push_back(
            {base::EndpointId(it.at(0).get<std::string>()), callsPerSecond, std::chrono::milliseconds(it.at(2).get<std::uint32_t>()), it.at(3).get<double>()});
    }
    if (!json.contains("models")) {
        return status;
    }
    status.demand.emplace();
    for (const auto &[name, counter] : json.at("models").items()) {
        status.demand->models.emplace(base::ModelName(name), placement::DemandCounter{counter.at(0).get<std::uint64_t>(), counter.at(1).get<std::uint64_t>()});
    }
    for (const auto &[name, requests] : json.at("adapters").items()) {
        status.demand->adapters.emplace(base::AdapterName(name), requests.get<std::uint64_t>());
    }
    return status;
}

} // namespace

std::string encode(const PeerStatus &status)
{
    Json json{{"from", status.from.text()},  {"inc", status.incarnation.value()}, {"ready", status.isReady}, {"leaving", status.isDraining},
              {"term", status.term.value()}, {"rev", status.revision.value()},    {"work", Json::array()},   {"gone", Json::array()},
              {"engines", Json::array()}};
    if (status.isCutOff) {
        json["cut_off"] = true;
    }
    for (const auto &it : status.unreachableServices) {
        json["unreachable"].push_back(it.text());
    }
    json["watch"] = status.isWatchingConfiguration;
    json["era"] = status.storeEra.value();
    json["peers"] = toString(status.peerAddress);
    json["callers"] = toString(status.callerAddress);
    json["zone"] = status.zone.text();
    for (const auto &it : status.endpointWork) {
        json["work"].push_back({it.endpoint.text(), it.streams, it.urgentWaiting, it.otherWaiting, it.urgentTokens, it.otherTokens});
    }
    for (const auto &it : status.drainingEndpoints) {
        json["gone"].push_back({it.endpoint.text(), it.incarnation.value()});
    }
    for (const auto &it : status.rejectionTolerances) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(it.age).count();
        json["tolerances"].push_back({it.service.text(), it.rejectionsPerSecond, age});
    }
    for (const auto &it : status.rateLimits) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(it.age).count();
        json["rates"].push_back({it.endpoint.text(), it.callsPerSecond ? Json(*it.callsPerSecond) : Json(), age, it.demand});
    }
    for (const auto &it : status.engines) {
        json["engines"].push_back({it.endpoint.text(), it.incarnation.value(), it.acceptedOrders, modelsToJson(it.models)});
    }
    if (status.demand) {
        json["models"] = Json::object();
        json["adapters"] = Json::object();
        for (const auto &[name, counter] : status.demand->models) {
            json["models"][name.text()] = {counter.requests, counter.streamMilliseconds};
        }
        for (const auto &[name, requests] : status.demand->adapters) {
            json["adapters"][name.text()] = requests;
        }
    }
    const auto bytes = Json::to_msgpack(json);
    return {bytes.begin(), bytes.end()};
}

bool reaches(const PeerStatus &status, const base::ServiceName &service)
{
    return !status.isCutOff && !status.unreachableServices.contains(service);
}

tl::expected<PeerStatus, MessageDecodeFailure> decodePeerStatus(std::string_view bytes)
{
    const auto json = Json::from_msgpack(bytes, true, false);
    if (!json.is_object()) {
        return tl::unexpected(MessageDecodeFailure::Malformed);
    }
    try {
        return fromJson(json);
    } catch (const Json::exception &) {
        // The library reports a missing member or a wrong type by exceptions only.
        return tl::unexpected(MessageDecodeFailure::Malformed);
    }
}

} // namespace turmericplank::gateway
