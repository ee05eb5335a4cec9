#include "turmericplank/gateway/streamoriginexchange.hpp"

#include <charconv>
#include <utility>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/gateway/streamoriginsmessage.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

constexpr const char *OriginsKind = "gateway/origins";
constexpr const char *QueryKind = "gateway/origin"; ///< body: digest of a call as decimal text; response: its version, or nothing

std::string joined(const std::set<std::string> &texts)
{
    std::string list;
    for (const auto &it : texts) {
        list += (list.empty() ? "" : ",") + it;
    }
    return list;
}

} // namespace

StreamOriginExchange::StreamOriginExchange(boost::asio::io_context &context, forwarding::StreamOrigins &origins, peer::Mesh &mesh, Peers &peers)
    : m_origins(origins)
    , m_peers(peers)
{
    mesh.handle(OriginsKind, [this](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
        answer.end();
        handleOrigins(from, body);
    });
    mesh.handle(QueryKind, [this](const base::DaemonId &, const std::string &body, const peer::PeerResponder &answer) { answerQuery(body, answer); });
    daemon::callEvery(context, m_options.sendInterval, [this] { sendUnsent(); });
}

void StreamOriginExchange::noteEndpoints(const std::map<base::EndpointId, discovery::EndpointEntry> &endpoints)
{
    std::map<base::ServiceName, std::set<std::string>> versions;
    for (const auto &[id, entry] : endpoints) {
        versions[entry.service].insert(entry.softwareVersion);
    }
    for (const auto &[service, listed] : versions) {
        if (listed != m_listed[service]) {
            telemetry::log(LogLevel::Info, "endpoints", "software versions", {{"service", service.text()}, {"versions", joined(listed)}});
        }
    }
    m_listed = versions;
    m_origins.noteVersions(versions, base::now());
}

void StreamOriginExchange::notePeerHeard(const base::DaemonId &id)
{
    const auto now = base::now();
    if (const auto mixed = m_origins.mixedServices(now); !mixed.empty()) {
        m_peers.sendTo(id, OriginsKind, encode(StreamOriginsMessage{m_origins.ownOfMixedServices(now), mixed}, now));
    }
}

void StreamOriginExchange::findRemote(forwarding::CallDigest call, std::function<void(std::optional<std::string>)> onDone)
{
    m_peers.askNearby(QueryKind, std::to_string(call), m_options.queryTimeout, std::move(onDone));
}

void StreamOriginExchange::handleOrigins(const base::DaemonId &from, const std::string &body)
{
    const auto now = base::now();
    const auto message = decodeStreamOrigins(body, now);
    if (!message) {
        telemetry::log(LogLevel::Warning, "peers", "cannot decode stream origins", {{"daemon", from.text()}, {"bytes", std::uint64_t(body.size())}});
        return;
    }
    m_origins.recordFromPeer(message->origins, now);
    m_origins.noteMixed(message->mixed, now);
}

void StreamOriginExchange::answerQuery(const std::string &body, const peer::PeerResponder &answer) const
{
    forwarding::CallDigest call = 0;
    const auto [rest, ec] = std::from_chars(body.data(), body.data() + body.size(), call);
    const auto *version = ec == std::errc() ? m_origins.find(call) : nullptr;
    if (version != nullptr && !version->empty()) {
        answer.write(*version);
    }
    answer.end();
}

void StreamOriginExchange::sendUnsent()
{
    const auto now = base::now();
    const auto unsent = m_origins.takeUnsent(now);
    if (!unsent.empty()) {
        m_peers.sendToGroup(OriginsKind, encode(StreamOriginsMessage{unsent, m_origins.mixedServices(now)}, now));
    }
}

} // namespace turmericplank::gateway
