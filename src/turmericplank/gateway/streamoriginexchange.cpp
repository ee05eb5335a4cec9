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
constexpr const char *HistoryKind = "gateway/versions"; ///< body: encode(VersionHistory)
constexpr const char *HistoryQueryKind = "gateway/versions_query"; ///< no body; response: encode(VersionHistory), or nothing
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

forwarding::ListedVersions listedVersions(const std::vector<discovery::EndpointEntry> &endpoints)
{
    forwarding::ListedVersions versions;
    for (const auto &it : endpoints) {
        versions[it.service].insert(it.softwareVersion);
    }
    return versions;
}

StreamOriginExchange::StreamOriginExchange(boost::asio::io_context &context, forwarding::StreamOrigins &origins, peer::Mesh &mesh, Peers &peers,
                                           store::Table table, bool mayTakeAbsentRow)
    : m_context(context)
    , m_origins(origins)
    , m_peers(peers)
    , m_table(std::move(table))
    , m_mayTakeAbsentRow(mayTakeAbsentRow)
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
    mesh.handle(HistoryQueryKind, [this](const base::DaemonId &, const std::string &, const peer::PeerResponder &answer) {
        if (const auto history = completeHistory()) {
            answer.write(*history);
        }
        answer.end();
    });
    daemon::callEvery(context, m_options.sendInterval, [this] { sendUnsent(); });
    daemon::callEvery(context, m_options.copyInterval, [this] { sendCopies(); });
    daemon::callEvery(context, m_options.historyInterval, [this] { maintainHistory(); });
    readHistory();
}

void StreamOriginExchange::noteEndpoints(const std::vector<discovery::EndpointEntry> &endpoints)
{
    const auto versions = listedVersions(endpoints);
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
    // It may have started again, without the copies that it had.
    std::erase(m_backups, id);
    const auto now = base::now();
    const auto mixed = m_origins.mixedServices(now);
    const auto origins = m_origins.ownOfMixedServices(now);
    if (!mixed.empty() || !origins.empty()) {
        m_peers.sendTo(id, OriginsKind, encode(StreamOriginsMessage{origins, mixed}, now));
    }
    if (const auto history = completeHistory()) {
        m_peers.sendTo(id, HistoryKind, *history);
    }
}

/// @return the encoded history; nothing if this daemon has just started itself and may have missed a version
std::optional<std::string> StreamOriginExchange::completeHistory() const
{
    const auto now = base::now();
    const auto history = m_origins.history(now);
    return isHistoryComplete(history, now) ? std::optional(encode(history, now)) : std::nullopt;
}

bool StreamOriginExchange::isHistoryComplete(const forwarding::VersionHistory &history, base::Time now) const
{
    return !history.empty() && std::ranges::all_of(history, [&](const auto &it) { return m_origins.isHistoryKnown(it.first, now); });
}

void StreamOriginExchange::handleHistory(const base::DaemonId &from, const std::string &body)
{
    const auto now = base::now();
    if (const auto history = decodeVersionHistory(body, now)) {
        m_origins.noteHistory(*history, now);
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
            continueRecording();
        } else {
            m_mustRead = true;
        }
    });
}

void StreamOriginExchange::readRecordedVersions(std::function<void(bool)> onDone)
{
    m_table.readPrefix(HistoryRow, [this, onDone = std::move(onDone)](const store::ReadResult &rows) {
        const auto now = base::now();
        if (rows && !rows->empty()) {
            if (const auto history = decodeVersionHistory(rows->front().value, now)) {
                m_origins.noteHistory(*history, now);
            }
        }
        onDone(rows.has_value());
    });
}

void StreamOriginExchange::applyRow(const std::vector<store::Row> &rows)
{
    const auto now = base::now();
    m_stored.clear();
    m_storedAt = now;
    m_storedRow = base::RowVersion();
    if (!rows.empty()) {
        m_storedRow = rows.front().version;
        if (auto history = decodeVersionHistory(rows.front().value, now)) {
            m_stored = std::move(*history);
        } else {
            telemetry::log(LogLevel::Warning, "store", "cannot decode a row of software versions", {{"key", rows.front().key}});
        }
    }
    // A row that is lost may have named a version that is no longer listed.
    if (!rows.empty() || m_mayTakeAbsentRow) {
        m_origins.noteHistory(m_stored, now);
    }
}

bool StreamOriginExchange::isRecorded(const base::ServiceName &service, const std::string &softwareVersion) const
{
    const auto it = m_stored.find(service);
    return it != m_stored.end() && it->second.contains(softwareVersion);
}

bool StreamOriginExchange::isRecorded(const forwarding::ListedVersions &versions) const
{
    return std::ranges::all_of(
        versions, [this](const auto &service) { return std::ranges::all_of(service.second, [&](const auto &it) { return isRecorded(service.first, it); }); });
}

void StreamOriginExchange::recordVersions(const forwarding::ListedVersions &versions, std::function<void()> onDone)
{
    const auto recording = std::make_shared<Recording>(Recording{versions, std::move(onDone)});
    m_recordings.push_back(recording);
    daemon::callAt(m_context, base::now() + m_options.recordTimeout, [recording] { end(recording); });
    if (m_mustRead) {
        readHistory();
    } else {
        continueRecording();
    }
}

void StreamOriginExchange::end(const RecordingPointer &recording)
{
    if (const auto onDone = std::exchange(recording->onDone, nullptr)) {
        onDone();
    }
}

/// Without knowledge of what served before its start, a daemon writes no row that others would take for complete. Streams of an unknown version
/// are refused then.
void StreamOriginExchange::continueRecording()
{
    std::erase_if(m_recordings, [](const auto &it) { return it->onDone == nullptr; });
    if (m_recordings.empty() || m_isCallInProgress || m_mustRead) {
        return;
    }
    const auto now = base::now();
    auto history = m_origins.history(now);
    const bool mayWrite = history.empty() ? m_origins.isHistoryKnown({}, now) : isHistoryComplete(history, now);
    bool isMissing = false;
    for (const auto &recording : std::vector(m_recordings)) {
        if (!mayWrite || isRecorded(recording->versions)) {
            end(recording);
            continue;
        }
        isMissing = true;
        for (const auto &[service, versions] : recording->versions) {
            for (const auto &it : versions) {
                history[service].try_emplace(it, now + m_options.recordedTime);
            }
        }
    }
    if (isMissing) {
        writeHistory(history, now);
    }
}

/// One daemon of each group writes the row, once it knows what served before its start; a conflict with that of another group is settled by reading the row
/// again.
void StreamOriginExchange::maintainHistory()
{
    if (m_mustRead) {
        readHistory();
        return;
    }
    const auto now = base::now();
    const auto history = m_origins.history(now);
    if (!m_isCallInProgress && m_peers.isStoreReader() && isHistoryComplete(history, now) && isRowOutdated(history, now)) {
        writeHistory(history, now);
    }
}

/// The row has the time that was left for each version, whenever it is read. So it is written again while the time of a version that is no
/// longer listed runs out.
bool StreamOriginExchange::isRowOutdated(const forwarding::VersionHistory &history, base::Time now) const
{
    const auto isSameTime = [&](const auto &current, const auto &stored) {
        return current.first == stored.first && current.second - now + m_options.historyPrecision > stored.second - m_storedAt;
    };
    const auto isSameService = [&](const auto &current, const auto &stored) {
        return current.first == stored.first && std::ranges::equal(current.second, stored.second, isSameTime);
    };
    return !history.empty() && !std::ranges::equal(history, m_stored, isSameService);
}

void StreamOriginExchange::writeHistory(const forwarding::VersionHistory &history, base::Time now)
{
    m_isCallInProgress = true;
    m_table.transact({{HistoryRow, m_storedRow, encode(history, now)}}, [this, history, now](const store::WriteResult &result) {
        m_isCallInProgress = false;
        if (result && !m_mustRead) {
            m_storedRow = result->front();
            m_stored = history;
            m_storedAt = now;
            continueRecording();
        } else {
            const bool isConflict = !result && result.error().failure == store::TableFailure::Conflict;
            m_mustRead = true;
            // After another failure the store is left alone until the next regular comparison.
            if (isConflict && !m_recordings.empty()) {
                readHistory();
            }
        }
    });
}

void StreamOriginExchange::findRemote(forwarding::CallDigest call, std::function<void(std::optional<std::string>)> onDone)
{
    const auto version = std::make_shared<std::optional<std::string>>();
    m_peers.askNearby(
        QueryKind, std::to_string(call), m_options.queryTimeout,
        [version](std::string_view answer) {
            *version = std::string(answer);
            return true;
        },
        [version, onDone = std::move(onDone)] { onDone(*version); });
}

void StreamOriginExchange::refreshHistory(std::function<void()> onDone)
{
    m_peers.askNearby(
        HistoryQueryKind, {}, m_options.queryTimeout,
        [this](std::string_view answer) {
            const auto now = base::now();
            if (const auto history = decodeVersionHistory(answer, now)) {
                m_origins.noteHistory(*history, now);
            }
            return false;
        },
        std::move(onDone));
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

void StreamOriginExchange::sendCopies()
{
    if (!m_origins.hasOwn()) {
        return;
    }
    const auto now = base::now();
    const auto uncopied = m_origins.takeUncopied(now);
    const auto backups = m_peers.backups();
    const auto complete = std::exchange(m_backups, backups);
    for (const auto &it : backups) {
        const bool isNew = std::ranges::find(complete, it) == complete.end();
        const auto origins = isNew ? m_origins.ownOrigins(now) : uncopied;
        if (!origins.empty()) {
            // Without the message, the copies are sent again as a whole. The call may fail at once.
            m_peers.sendTo(it, OriginsKind, encode(StreamOriginsMessage{origins, {}}, now), [this, it] { std::erase(m_backups, it); });
        }
    }
}

} // namespace turmericplank::gateway
