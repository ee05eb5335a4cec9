#include "turmericplank/gateway/streamoriginexchange.hpp"

#include <algorithm>
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
constexpr const char *HistoryKind = "gateway/versions"; ///< body: encode(ServiceVersions)
constexpr const char *HistoryRow = "versions/recent";

std::string joined(const std::set<std::string> &texts)
{
    std::string list;
    for (const auto &it : texts) {
        list += (list.empty() ? "" : ",") + it;
    }
    return list;
}

} // namespace

StreamOriginExchange::StreamOriginExchange(boost::asio::io_context &context, forwarding::StreamOrigins &origins, peer::Mesh &mesh, Peers &peers,
                                           store::Table table)
    : m_origins(origins)
    , m_peers(peers)
    , m_table(std::move(table))
{
    mesh.handle(OriginsKind, [this](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
        answer.end();
        handleOrigins(from, body);
    });
    mesh.handle(QueryKind, [this](const base::DaemonId &, const std::string &body, const peer::PeerResponder &answer) { answerQuery(body, answer); });
    mesh.handle(HistoryKind, [this](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
        answer.end();
        handleHistory(from, body);
    });
    daemon::callEvery(context, m_options.sendInterval, [this] { sendUnsent(); });
    daemon::callEvery(context, m_options.historyInterval, [this] { maintainHistory(); });
    readHistory();
}

void StreamOriginExchange::noteEndpoints(const std::map<base::EndpointId, discovery::EndpointEntry> &endpoints)
{
    forwarding::ServiceVersions versions;
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
    // A daemon that has just started itself may have missed a version.
    const auto recent = m_origins.recentVersions(now);
    const bool isComplete = !recent.empty() && std::ranges::all_of(recent, [&](const auto &it) { return m_origins.isHistoryKnown(it.first, now); });
    if (isComplete) {
        m_peers.sendTo(id, HistoryKind, encodeVersions(recent));
    }
}

void StreamOriginExchange::handleHistory(const base::DaemonId &from, const std::string &body)
{
    if (const auto versions = decodeVersions(body)) {
        m_origins.noteHistory(*versions, base::now());
    } else {
        telemetry::log(LogLevel::Warning, "peers", "cannot decode software versions", {{"daemon", from.text()}, {"bytes", std::uint64_t(body.size())}});
    }
}

void StreamOriginExchange::noteStoreRestored()
{
    m_storedRow = base::RowVersion();
    m_stored.clear();
    readHistory();
}

void StreamOriginExchange::readHistory()
{
    m_mustRead = true;
    if (std::exchange(m_isCallInProgress, true)) {
        return;
    }
    m_mustRead = false;
    m_table.readPrefix(HistoryRow, [this](const store::ReadResult &rows) {
        m_isCallInProgress = false;
        if (rows) {
            applyRow(*rows);
        } else {
            m_mustRead = true;
        }
    });
}

void StreamOriginExchange::applyRow(const std::vector<store::Row> &rows)
{
    m_stored.clear();
    m_storedRow = base::RowVersion();
    if (!rows.empty()) {
        m_storedRow = rows.front().version;
        if (auto versions = decodeVersions(rows.front().value)) {
            m_stored = std::move(*versions);
        } else {
            telemetry::log(LogLevel::Warning, "store", "cannot decode a row of software versions", {{"key", rows.front().key}});
        }
    }
    const auto now = base::now();
    m_keepStoredUntil = now + forwarding::StreamOriginsOptions().mixedMemory;
    m_origins.noteHistory(m_stored, now);
}

/// One daemon of each group writes the row; a conflict with that of another group is settled by reading the row again.
void StreamOriginExchange::maintainHistory()
{
    if (m_mustRead) {
        readHistory();
        return;
    }
    const auto now = base::now();
    auto versions = m_origins.recentVersions(now);
    if (now < m_keepStoredUntil) {
        for (const auto &[service, stored] : m_stored) {
            versions[service].insert(stored.begin(), stored.end());
        }
    }
    if (!m_isCallInProgress && m_peers.isStoreReader() && versions != m_stored && !versions.empty()) {
        writeHistory(versions);
    }
}

void StreamOriginExchange::writeHistory(const forwarding::ServiceVersions &versions)
{
    m_isCallInProgress = true;
    m_table.transact({{HistoryRow, m_storedRow, encodeVersions(versions)}}, [this, versions](const store::WriteResult &result) {
        m_isCallInProgress = false;
        if (result && !m_mustRead) {
            m_storedRow = result->front();
            m_stored = versions;
        } else {
            m_mustRead = true;
        }
    });
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
