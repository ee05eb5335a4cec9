#include "daemonrecordtext.hpp"

#include <nlohmann/json.hpp>

namespace turmericplank::daemon {

std::string daemonRecordText(const membership::DaemonRecord &record)
{
    const nlohmann::json body = {{"id", record.id.text()},
                                 {"zone", record.zone.text()},
                                 {"caller_address", toString(record.callerAddress)},
                                 {"peer_address", toString(record.peerAddress)}};
    return body.dump();
}

std::optional<membership::DaemonRecord> parseDaemonRecord(const std::string &text)
{
    const auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return std::nullopt;
    }
    const auto field = [&body](const char *name) {
        return body.contains(name) && body[name].is_string() ? body[name].get<std::string>() : std::string();
    };
    const auto callers = base::parseAddress(field("caller_address"));
    const auto peers = base::parseAddress(field("peer_address"));
    if (field("id").empty() || !callers || !peers) {
        return std::nullopt;
    }
    return membership::DaemonRecord{base::DaemonId(field("id")), base::ZoneName(field("zone")), *callers, *peers};
}

} // namespace turmericplank::daemon
