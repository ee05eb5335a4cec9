#include "turmericplank/gateway/peernotice.hpp"

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

/// An address that cannot be read stays empty; nothing is sent there.
base::Address addressFromJson(const Json &json)
{
    return base::parseAddress(json.get<std::string>()).value_or(base::Address());
}

PeerNotice fromJson(const Json &json)
{
    PeerNotice notice;
    notice.from = base::DaemonId(json.at("from").get<std::string>());
    notice.peers = addressFromJson(json.at("peers"));
    notice.callers = addressFromJson(json.at("callers"));
    notice.zone = base::ZoneName(json.at("zone").get<std::string>());
    notice.incarnation = base::Incarnation(json.at("inc").get<std::uint64_t>());
    notice.isReady = json.at("ready").get<bool>();
    notice.isLeaving = json.at("leaving").get<bool>();
    notice.term = base::Term(json.at("term").get<std::uint64_t>());
    notice.revision = base::Revision(json.at("rev").get<std::uint64_t>());
    for (const auto &it : json.at("work")) {
        notice.work.push_back({base::EndpointId(it.at(0).get<std::string>()), it.at(1).get<std::uint32_t>(), it.at(2).get<std::uint32_t>(),
                               it.at(3).get<std::uint32_t>(), it.at(4).get<std::uint32_t>(), it.at(5).get<std::uint32_t>()});
    }
    for (const auto &it : json.at("gone")) {
        notice.leavingEndpoints.push_back({base::EndpointId(it.at(0).get<std::string>()), base::Incarnation(it.at(1).get<std::uint64_t>())});
    }
    for (const auto &it : json.at("engines")) {
        notice.engines.push_back({base::EndpointId(it.at(0).get<std::string>()), base::Incarnation(it.at(1).get<std::uint64_t>()),
                                  it.at(2).get<std::uint64_t>(), modelsFromJson(it.at(3))});
    }
    if (!json.contains("models")) {
        return notice;
    }
    notice.demand.emplace();
    for (const auto &[name, counter] : json.at("models").items()) {
        notice.demand->models.emplace(base::ModelName(name), placement::DemandCounter{counter.at(0).get<std::uint64_t>(), counter.at(1).get<std::uint64_t>()});
    }
    for (const auto &[name, requests] : json.at("adapters").items()) {
        notice.demand->adapters.emplace(base::AdapterName(name), requests.get<std::uint64_t>());
    }
    return notice;
}

} // namespace

std::string encode(const PeerNotice &notice)
{
    Json json{{"from", notice.from.text()},  {"inc", notice.incarnation.value()}, {"ready", notice.isReady}, {"leaving", notice.isLeaving},
              {"term", notice.term.value()}, {"rev", notice.revision.value()},    {"work", Json::array()},   {"gone", Json::array()},
              {"engines", Json::array()}};
    json["peers"] = toString(notice.peers);
    json["callers"] = toString(notice.callers);
    json["zone"] = notice.zone.text();
    for (const auto &it : notice.work) {
        json["work"].push_back({it.endpoint.text(), it.streams, it.urgentWaiting, it.otherWaiting, it.urgentTokens, it.otherTokens});
    }
    for (const auto &it : notice.leavingEndpoints) {
        json["gone"].push_back({it.endpoint.text(), it.incarnation.value()});
    }
    for (const auto &it : notice.engines) {
        json["engines"].push_back({it.endpoint.text(), it.incarnation.value(), it.sequence, modelsToJson(it.models)});
    }
    if (notice.demand) {
        json["models"] = Json::object();
        json["adapters"] = Json::object();
        for (const auto &[name, counter] : notice.demand->models) {
            json["models"][name.text()] = {counter.requests, counter.streamMilliseconds};
        }
        for (const auto &[name, requests] : notice.demand->adapters) {
            json["adapters"][name.text()] = requests;
        }
    }
    const auto bytes = Json::to_msgpack(json);
    return {bytes.begin(), bytes.end()};
}

tl::expected<PeerNotice, NoticeFailure> decodePeerNotice(std::string_view bytes)
{
    const auto json = Json::from_msgpack(bytes, true, false);
    if (!json.is_object()) {
        return tl::unexpected(NoticeFailure::Malformed);
    }
    try {
        return fromJson(json);
    } catch (const Json::exception &) {
        // The library reports a missing member or another type only in this way.
        return tl::unexpected(NoticeFailure::Malformed);
    }
}

} // namespace turmericplank::gateway
