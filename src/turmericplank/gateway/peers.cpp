#include "turmericplank/gateway/peers.hpp"

#include <algorithm>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/gateway/backups.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

constexpr const char *StatusKind = "gateway/notice";
constexpr const char *DaemonListPrefix = "daemons/";

std::string keyOf(const base::DaemonId &id)
{
    return DaemonListPrefix + id.text();
}

} // namespace

Peers::Peers(boost::asio::io_context &context, const Settings &settings, store::Table table, peer::Mesh &mesh, Callbacks callbacks, PeersOptions options)
    : m_context(context)
    , m_self{settings.id, settings.peerAddress, settings.callerAddress, settings.zone}
    , m_incarnation(static_cast<std::uint64_t>(base::toMilliseconds(base::now())))
    , m_table(std::move(table))
    , m_mesh(mesh)
    , m_callbacks(std::move(callbacks))
    , m_options(options)
    , m_startedAt(base::now())
{
    m_mesh.handle(StatusKind, [this](const base::DaemonId &, const std::string &body, const peer::PeerResponder &answer) {
        answer.end();
        handleMessage(body);
    });
    registerSelf();
    readDaemonList();
    daemon::callEvery(m_context, m_options.statusInterval, [this] {
        const auto now = base::now();
        registerSelf();
        if (now >= m_nextListRead) {
            readDaemonList();
        }
        detectSilentPeers();
        sendStatus();
    });
}

void Peers::registerSelf()
{
    if (m_isRegistered || m_isRegistering || m_isDraining) {
        return;
    }
    m_isRegistering = true;
    m_table.transact({{keyOf(m_self.id), std::nullopt, encode(m_self)}}, [this](const store::WriteResult &result) {
        m_isRegistering = false;
        m_isRegistered = result.has_value() && !std::exchange(m_mustRegisterAgain, false);
        if (m_isRegistered) {
            telemetry::log(LogLevel::Info, "peers", "registered", {{"daemon", m_self.id.text()}, {"peers", toString(m_self.peerAddress)}});
        }
    });
}

void Peers::readDaemonList()
{
    const auto now = base::now();
    const bool isStarting = now < m_startedAt + m_options.startupTime;
    m_nextListRead = now + (isStarting ? m_options.startupListReadInterval : m_options.listReadInterval);
    if (std::exchange(m_isReadingList, true)) {
        return;
    }
    m_table.readPrefix(DaemonListPrefix, [this](const store::ReadResult &rows) {
        m_isReadingList = false;
        if (rows) {
            applyDaemonList(*rows);
        }
    });
}

void Peers::applyDaemonList(const std::vector<store::Row> &rows)
{
    std::map<base::DaemonId, PeerRecord> listed;
    for (const auto &row : rows) {
        const auto record = decodePeerRecord(row.value);
        if (record && record->id != m_self.id) {
            listed.emplace(record->id, *record);
        }
    }
    for (const auto &[id, record] : listed) {
        m_peers[id].record = record;
    }
    assignGroups();
    const auto now = base::now();
    std::erase_if(m_peers,
                  [&](const auto &it) { return !listed.contains(it.first) && it.second.isSilent && now > it.second.heardAt + m_options.removalTimeout; });
}

/// Divides a large site into groups within each zone, by the order of the ids, so that all daemons compute the same groups.
void Peers::assignGroups()
{
    const bool isFullMesh = m_peers.size() + 1 <= m_options.maxFullMeshDaemons;
    std::vector<base::DaemonId> zone{m_self.id};
    for (const auto &[id, peer] : m_peers) {
        if (peer.record && peer.record->zone == m_self.zone) {
            zone.push_back(id);
        }
    }
    std::ranges::sort(zone);
    const auto groupCount = std::max<std::size_t>(1, (zone.size() + m_options.maxGroupSize - 1) / m_options.maxGroupSize);
    const auto size = (zone.size() + groupCount - 1) / groupCount;
    const auto groupOf = [&](const base::DaemonId &id) {
        return static_cast<std::size_t>(std::ranges::lower_bound(zone, id) - zone.begin()) / size;
    };
    const auto own = groupOf(m_self.id);
    for (auto &[id, peer] : m_peers) {
        const bool isInZone = peer.record && peer.record->zone == m_self.zone;
        peer.isInGroup = isFullMesh || (isInZone && groupOf(id) == own);
    }
}

bool Peers::isHolder(const Peer &peer)
{
    return !peer.isSilent && peer.status && peer.status->term != base::Term();
}

bool Peers::isStatusDue(const Peer &peer, base::Time now) const
{
    return peer.isInGroup || ((m_isHolder || isHolder(peer)) && now >= m_nextRemoteStatus);
}

void Peers::send(const Peer &peer, const std::string &kind, const std::string &body, std::function<void()> onFailed)
{
    peer::PeerCall call;
    call.kind = kind;
    call.body = body;
    if (onFailed) {
        call.onEnd = [onFailed = std::move(onFailed)](const tl::expected<void, peer::PeerFailure> &result) {
            if (!result) {
                onFailed();
            }
        };
    }
    m_mesh.call(peer.record->peerAddress, std::move(call));
}

void Peers::sendStatus()
{
    const auto now = base::now();
    PeerStatus status;
    status.from = m_self.id;
    status.peerAddress = m_self.peerAddress;
    status.callerAddress = m_self.callerAddress;
    status.zone = m_self.zone;
    status.incarnation = m_incarnation;
    status.isDraining = m_isDraining;
    m_callbacks.fillStatus(status);
    m_isHolder = status.term != base::Term();
    m_ownStatus = status;
    const auto body = encode(status);
    std::string bodyWithDemand;
    // While no holder is heard, every peer gets the demand, so that the next holder can plan at once.
    const bool isHolderHeard = m_isHolder || leaseHolder().has_value();
    for (const auto &[id, peer] : m_peers) {
        if (!peer.record || !isStatusDue(peer, now)) {
            continue;
        }
        const bool wantsDemand = isHolder(peer) || !isHolderHeard;
        if (wantsDemand && bodyWithDemand.empty()) {
            status.demand = m_callbacks.demand();
            bodyWithDemand = encode(status);
        }
        send(peer, StatusKind, wantsDemand ? bodyWithDemand : body);
    }
    if (now >= m_nextRemoteStatus) {
        m_nextRemoteStatus = now + m_options.remoteInterval;
    }
}

void Peers::sendStatusToAll()
{
    m_nextRemoteStatus = base::Time();
    sendStatus();
}

void Peers::sendToGroup(const std::string &kind, const std::string &body)
{
    for (const auto &[id, peer] : m_peers) {
        if (peer.record && peer.isInGroup && !peer.isSilent) {
            send(peer, kind, body);
        }
    }
}

void Peers::sendToAll(const std::string &kind, const std::string &body)
{
    for (const auto &[id, peer] : m_peers) {
        if (peer.record && (peer.isInGroup ? !peer.isSilent : m_isHolder)) {
            send(peer, kind, body);
        }
    }
}

void Peers::sendToStatusPeers(const std::string &kind, const std::string &body)
{
    for (const auto &[id, peer] : m_peers) {
        if (peer.record && (peer.isInGroup || m_isHolder || isHolder(peer))) {
            send(peer, kind, body);
        }
    }
}

void Peers::sendTo(const base::DaemonId &id, const std::string &kind, const std::string &body, std::function<void()> onFailed)
{
    const auto it = m_peers.find(id);
    if (it != m_peers.end() && it->second.record) {
        send(it->second, kind, body, std::move(onFailed));
    }
}

void Peers::ask(const base::DaemonId &id, const std::string &kind, const std::string &body, base::Duration timeout,
                std::function<void(std::string_view)> onAnswer)
{
    const auto it = m_peers.find(id);
    if (it == m_peers.end() || !it->second.record) {
        return;
    }
    peer::PeerCall call;
    call.kind = kind;
    call.body = body;
    call.timeout = timeout;
    const auto answer = std::make_shared<std::string>();
    call.onChunk = [answer](std::string_view chunk) {
        answer->append(chunk);
    };
    call.onEnd = [answer, onAnswer = std::move(onAnswer)](const tl::expected<void, peer::PeerFailure> &result) {
        if (result) {
            onAnswer(*answer);
        }
    };
    m_mesh.call(it->second.record->peerAddress, std::move(call));
}

/// Daemons that are listed and have not been heard yet are asked as well, since this one may have just started.
void Peers::askNearby(const std::string &kind, const std::string &body, base::Duration timeout, std::function<bool(std::string_view)> onAnswer,
                      std::function<void()> onDone)
{
    struct Query
    {
        std::size_t open = 1; ///< questions without an answer; one more while they are being sent
        std::function<bool(std::string_view)> onAnswer;
        std::function<void()> onDone; ///< empty after it was called
    };
    const auto query = std::make_shared<Query>();
    query->onAnswer = std::move(onAnswer);
    query->onDone = std::move(onDone);
    const auto finish = [query] {
        if (const auto callback = std::exchange(query->onDone, nullptr)) {
            callback();
        }
    };
    const auto endOne = [query, finish] {
        if (--query->open == 0) {
            finish();
        }
    };
    for (const auto &[id, peer] : m_peers) {
        const bool isNearby = peer.isInGroup ? !peer.isSilent || !peer.status : peer.record && peer.record->zone == m_self.zone;
        if (!peer.record || !isNearby) {
            continue;
        }
        ++query->open;
        peer::PeerCall call;
        call.kind = kind;
        call.body = body;
        call.timeout = timeout;
        call.onChunk = [query, finish](std::string_view chunk) {
            if (query->onDone && !chunk.empty() && query->onAnswer(chunk)) {
                finish();
            }
        };
        call.onEnd = [endOne](const auto &) {
            endOne();
        };
        m_mesh.call(peer.record->peerAddress, std::move(call));
    }
    endOne();
}

void Peers::registerAgain()
{
    m_isRegistered = false;
    m_mustRegisterAgain = m_isRegistering;
    registerSelf();
}

void Peers::handleMessage(const std::string &body)
{
    const auto status = decodePeerStatus(body);
    if (!status) {
        telemetry::log(LogLevel::Warning, "peers", "cannot decode status", {{"bytes", std::uint64_t(body.size())}});
        return;
    }
    auto &peer = m_peers[status->from];
    const bool isOlder = peer.status && status->incarnation < peer.status->incarnation;
    if (isOlder) {
        return;
    }
    const PeerRecord record{status->from, status->peerAddress, status->callerAddress, status->zone};
    if (peer.record != record) {
        peer.record = record;
        assignGroups();
    }
    // A daemon that restarts may be heard again before its silence is noticed.
    const bool hasRestarted = peer.status && peer.status->incarnation < status->incarnation;
    const bool isNewlyHeard = std::exchange(peer.isSilent, false) || hasRestarted;
    if (isNewlyHeard) {
        telemetry::log(LogLevel::Info, "peers", "heard", {{"daemon", status->from.text()}, {"incarnation", status->incarnation.value()}});
    }
    if (!peer.status || peer.status->isDraining != status->isDraining) {
        telemetry::log(LogLevel::Info, "peers", status->isDraining ? "leaves" : "serves", {{"daemon", status->from.text()}});
    }
    peer.heardAt = base::now();
    const auto before = peer.status ? peer.status->unreachableServices : std::set<base::ServiceName>();
    peer.status = *status;
    if (isNewlyHeard && peer.isInGroup && m_callbacks.onPeerHeard) {
        m_callbacks.onPeerHeard(status->from);
    }
    if (m_callbacks.onPeerStatus) {
        m_callbacks.onPeerStatus(before, *status);
    }
}

void Peers::detectSilentPeers()
{
    const auto now = base::now();
    for (auto &[id, peer] : m_peers) {
        const auto limit = peer.isInGroup ? m_options.peerTimeout : m_options.peerTimeout + m_options.remoteInterval;
        if (peer.isSilent || now < peer.heardAt + limit) {
            continue;
        }
        peer.isSilent = true;
        telemetry::log(LogLevel::Warning, "peers", "silent", {{"daemon", id.text()}, {"age_ms", base::millisecondsBetween(peer.heardAt, now)}});
        if (m_callbacks.onPeerSilent) {
            m_callbacks.onPeerSilent(id);
        }
    }
}

void Peers::announceDraining()
{
    if (std::exchange(m_isDraining, true)) {
        return;
    }
    sendStatus();
    m_table.transact({{keyOf(m_self.id), std::nullopt, std::nullopt}}, [](const store::WriteResult &) {
        // If the row remains, its daemon is not heard, which has the same effect.
    });
}

std::size_t Peers::otherDaemonCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_peers, [](const auto &it) { return !it.second.isSilent || !it.second.isInGroup; }));
}

std::vector<base::DaemonId> Peers::otherDaemons() const
{
    std::vector<base::DaemonId> found;
    for (const auto &[id, peer] : m_peers) {
        const bool isCutOff = peer.status && peer.status->isCutOff;
        if ((!peer.isSilent || !peer.isInGroup) && !isCutOff) {
            found.push_back(id);
        }
    }
    return found;
}

std::size_t Peers::groupPeerCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_peers, [](const auto &it) { return !it.second.isSilent && it.second.isInGroup; }));
}

bool Peers::isInGroup(const base::DaemonId &id) const
{
    const auto it = m_peers.find(id);
    return it != m_peers.end() && it->second.isInGroup;
}

/// Does not rely on detectSilentPeers(), which has not run yet when a process goes on after a pause.
bool Peers::isHalfHeard() const
{
    const auto now = base::now();
    std::size_t known = 1;
    std::size_t heard = 1;
    for (const auto &[id, peer] : m_peers) {
        const bool isKnown = peer.isInGroup && peer.status && !peer.status->isDraining && peer.heardAt + m_options.maxSilence > now;
        known += isKnown ? 1 : 0;
        heard += isKnown && peer.heardAt + m_options.peerTimeout > now ? 1 : 0;
    }
    return heard > 1 && heard * 2 >= known;
}

bool Peers::areAllHeard() const
{
    const auto oldest = base::now() - m_options.maxSilence;
    return std::ranges::none_of(m_peers, [oldest](const auto &it) {
        const auto &peer = it.second;
        return peer.isSilent && peer.status && !peer.status->isDraining && peer.heardAt > oldest;
    });
}

/// Number of daemons of the group that serve, are heard and come before this one in the order of the ids.
std::size_t Peers::servingPeersBefore() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_peers, [this](const auto &it) {
        const auto &peer = it.second;
        const bool isServing = !peer.isSilent && peer.isInGroup && peer.status && !peer.status->isDraining;
        return isServing && it.first < m_self.id;
    }));
}

bool Peers::isStoreReader() const
{
    return servingPeersBefore() == 0;
}

bool Peers::isConfigurationWatcher() const
{
    return servingPeersBefore() <= 1;
}

bool Peers::isLeaseHolder() const
{
    return m_isHolder && m_callbacks.mayActAsHolder();
}

std::vector<std::pair<PeerRecord, PeerStatus>> Peers::servingPeers() const
{
    std::vector<std::pair<PeerRecord, PeerStatus>> found;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.isSilent && peer.isInGroup && peer.record && peer.status && peer.status->isReady && !peer.status->isDraining) {
            found.emplace_back(*peer.record, *peer.status);
        }
    }
    return found;
}

std::vector<base::DaemonId> Peers::backups() const
{
    std::vector<BackupCandidate> candidates;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.isSilent && peer.isInGroup && peer.record && peer.status && !peer.status->isDraining) {
            candidates.push_back({id, peer.record->zone});
        }
    }
    return chooseBackups({m_self.id, m_self.zone}, std::move(candidates));
}

std::pair<std::size_t, std::size_t> Peers::groupContact(const base::ServiceName &service) const
{
    std::pair<std::size_t, std::size_t> found;
    for (const auto &[id, peer] : m_peers) {
        if (peer.isInGroup && !peer.isSilent && peer.status) {
            ++(reaches(*peer.status, service) ? found.first : found.second);
        }
    }
    return found;
}

ForwardTargets Peers::forwardTargets(const base::ServiceName &service) const
{
    ForwardTargets found;
    std::size_t unreaching = 1;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.record) {
            continue;
        }
        const ForwardTarget target{id, peer.record->peerAddress, peer.record->zone == m_self.zone};
        const bool isServing = !peer.isSilent && peer.status && peer.status->isReady && !peer.status->isDraining;
        if (!peer.isInGroup) {
            found.outside.push_back(target);
        } else if (isServing && reaches(*peer.status, service)) {
            found.inGroup.push_back(target);
        } else {
            unreaching += isServing ? 1 : 0;
        }
    }
    found.isGroupShort = found.inGroup.size() < unreaching;
    return found;
}

std::vector<PeerStatus> Peers::heardStatuses() const
{
    std::vector<PeerStatus> found{m_ownStatus};
    for (const auto &[id, peer] : m_peers) {
        if (!peer.isSilent && peer.status) {
            found.push_back(*peer.status);
        }
    }
    return found;
}

std::optional<base::DaemonId> Peers::leaseHolder() const
{
    std::optional<base::DaemonId> found;
    base::Term highest;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.isSilent && peer.status && peer.status->term > highest) {
            highest = peer.status->term;
            found = id;
        }
    }
    return found;
}

} // namespace turmericplank::gateway
