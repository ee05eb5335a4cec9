#include <nlohmann/json.hpp>

#include "turmericplank/gateway/peers.hpp"

namespace turmericplank::gateway {

std::string encode(const PeerRecord &record)
{
    return nlohmann::json(
               {{"id", record.id.text()}, {"peers", toString(record.peerAddress)}, {"callers", toString(record.callerAddress)}, {"zone", record.zone.text()}})
        .dump();
}

std::optional<PeerRecord> decodePeerRecord(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const auto member = [&json](const char *key) {
        return json.is_object() && json.contains(key) && json[key].is_string() ? json[key].get<std::string>() : std::string();
    };
    const auto peers = base::parseAddress(member("peers"));
    const auto callers = base::parseAddress(member("callers"));
    if (member("id").empty() || !peers || !callers) {
        return std::nullopt;
    }
    return PeerRecord{base::DaemonId(member("id")), *peers, *callers, base::ZoneName(member("zone"))};
}

} // namespace turmericplank::gateway
