#include "turmericplank/gateway/peers.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

constexpr const char *NoticeKind = "gateway/notice";
constexpr const char *ListPrefix = "daemons/";

std::string keyOf(const base::DaemonId &id)
{
    return ListPrefix + id.text();
}

} // namespace

std::string encode(const PeerAddress &address)
{
    return nlohmann::json(
               {{"id", address.id.text()}, {"peers", toString(address.peers)}, {"callers", toString(address.callers)}, {"zone", address.zone.text()}})
        .dump();
}

std::optional<PeerAddress> decodePeerAddress(const std::string &text)
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
    return PeerAddress{base::DaemonId(member("id")), *peers, *callers, base::ZoneName(member("zone"))};
}

Peers::Peers(boost::asio::io_context &context, const Settings &settings, store::Table table, peer::Mesh &mesh, Hooks hooks, PeersOptions options)
    : m_context(context)
    , m_self{settings.id, settings.peers, settings.callers, settings.zone}
    , m_incarnation(static_cast<std::uint64_t>(base::toMilliseconds(base::now())))
    , m_table(std::move(table))
    , m_mesh(mesh)
    , m_hooks(std::move(hooks))
    , m_options(options)
    , m_startedAt(base::now())
{
    m_mesh.handle(NoticeKind, [this](const base::DaemonId &, const std::string &body, const peer::PeerAnswer &answer) {
        answer.end();
        onMessage(body);
    });
    registerSelf();
    daemon::callEvery(m_context, m_options.noticeInterval, [this] {
        const auto now = base::now();
        registerSelf();
        if (now >= m_nextList) {
            readList();
        }
        checkSilence();
        tell();
    });
}

void Peers::registerSelf()
{
    if (m_isRegistered || m_isRegistering || m_isLeaving) {
        return;
    }
    m_isRegistering = true;
    m_table.transact({{keyOf(m_self.id), std::nullopt, encode(m_self)}}, [this](const store::WriteResult &result) {
        m_isRegistering = false;
        m_isRegistered = result.has_value();
        if (m_isRegistered) {
            telemetry::log(LogLevel::Info, "peers", "registered", {{"daemon", m_self.id.text()}, {"peers", toString(m_self.peers)}});
        }
    });
}

void Peers::readList()
{
    const auto now = base::now();
    const bool isStarting = now < m_startedAt + m_options.firstListTime;
    m_nextList = now + (isStarting ? m_options.firstListInterval : m_options.listInterval);
    if (std::exchange(m_isReading, true)) {
        return;
    }
    m_table.readPrefix(ListPrefix, [this](const store::ReadResult &rows) {
        m_isReading = false;
        if (rows) {
            takeList(*rows);
        }
    });
}

void Peers::takeList(const std::vector<store::Row> &rows)
{
    std::map<base::DaemonId, PeerAddress> listed;
    for (const auto &row : rows) {
        const auto address = decodePeerAddress(row.value);
        if (address && address->id != m_self.id) {
            listed.emplace(address->id, *address);
        }
    }
    for (const auto &[id, address] : listed) {
        m_peers[id].address = address;
    }
    group();
    const auto now = base::now();
    std::erase_if(m_peers, [&](const auto &it) { return !listed.contains(it.first) && it.second.isSilent && now > it.second.heardAt + m_options.forgetAfter; });
}

/// Large sites are told apart into groups of one zone, by the order of the names, which all daemons read alike.
void Peers::group()
{
    const bool isWhole = m_peers.size() + 1 <= m_options.wholeSite;
    std::vector<base::DaemonId> zone{m_self.id};
    for (const auto &[id, peer] : m_peers) {
        if (peer.address && peer.address->zone == m_self.zone) {
            zone.push_back(id);
        }
    }
    std::ranges::sort(zone);
    const auto groups = std::max<std::size_t>(1, (zone.size() + m_options.groupSize - 1) / m_options.groupSize);
    const auto size = (zone.size() + groups - 1) / groups;
    const auto groupOf = [&](const base::DaemonId &id) {
        return static_cast<std::size_t>(std::ranges::lower_bound(zone, id) - zone.begin()) / size;
    };
    const auto own = groupOf(m_self.id);
    for (auto &[id, peer] : m_peers) {
        const bool isOfZone = peer.address && peer.address->zone == m_self.zone;
        peer.isNear = isWhole || (isOfZone && groupOf(id) == own);
    }
}

bool Peers::isHolder(const Peer &peer)
{
    return !peer.isSilent && peer.notice && peer.notice->term != base::Term();
}

bool Peers::isDue(const Peer &peer, base::Time now) const
{
    return peer.isNear || ((m_isHolder || isHolder(peer)) && now >= m_nextFar);
}

void Peers::send(const Peer &peer, const std::string &kind, const std::string &body)
{
    peer::PeerCall call;
    call.kind = kind;
    call.body = body;
    m_mesh.call(peer.address->peers, std::move(call));
}

void Peers::tell()
{
    const auto now = base::now();
    PeerNotice notice;
    notice.from = m_self.id;
    notice.peers = m_self.peers;
    notice.callers = m_self.callers;
    notice.zone = m_self.zone;
    notice.incarnation = m_incarnation;
    notice.isLeaving = m_isLeaving;
    m_hooks.fillNotice(notice);
    m_isHolder = notice.term != base::Term();
    const auto body = encode(notice);
    std::string bodyWithDemand;
    // Whoever takes the lease next can plan at once with what it was told before.
    const bool isHolderHeard = m_isHolder || holder().has_value();
    for (const auto &[id, peer] : m_peers) {
        if (!peer.address || !isDue(peer, now)) {
            continue;
        }
        const bool wantsDemand = isHolder(peer) || !isHolderHeard;
        if (wantsDemand && bodyWithDemand.empty()) {
            notice.demand = m_hooks.demand();
            bodyWithDemand = encode(notice);
        }
        send(peer, NoticeKind, wantsDemand ? bodyWithDemand : body);
    }
    if (now >= m_nextFar) {
        m_nextFar = now + m_options.farInterval;
    }
}

void Peers::tellFar()
{
    m_nextFar = base::Time();
    tell();
}

void Peers::tellGroup(const std::string &kind, const std::string &body)
{
    for (const auto &[id, peer] : m_peers) {
        if (peer.address && peer.isNear && !peer.isSilent) {
            send(peer, kind, body);
        }
    }
}

void Peers::tellAll(const std::string &kind, const std::string &body)
{
    for (const auto &[id, peer] : m_peers) {
        if (peer.address && (peer.isNear ? !peer.isSilent : m_isHolder)) {
            send(peer, kind, body);
        }
    }
}

void Peers::onMessage(const std::string &body)
{
    const auto notice = decodePeerNotice(body);
    if (!notice) {
        telemetry::log(LogLevel::Warning, "peers", "notice cannot be read", {{"bytes", std::uint64_t(body.size())}});
        return;
    }
    auto &peer = m_peers[notice->from];
    const bool isOlder = peer.notice && notice->incarnation < peer.notice->incarnation;
    if (isOlder) {
        return;
    }
    const PeerAddress address{notice->from, notice->peers, notice->callers, notice->zone};
    if (peer.address != address) {
        peer.address = address;
        group();
    }
    if (std::exchange(peer.isSilent, false)) {
        telemetry::log(LogLevel::Info, "peers", "heard", {{"daemon", notice->from.text()}, {"incarnation", notice->incarnation.value()}});
    }
    if (!peer.notice || peer.notice->isLeaving != notice->isLeaving) {
        telemetry::log(LogLevel::Info, "peers", notice->isLeaving ? "leaves" : "serves", {{"daemon", notice->from.text()}});
    }
    peer.heardAt = base::now();
    peer.notice = *notice;
    if (m_hooks.onNotice) {
        m_hooks.onNotice(*notice);
    }
}

void Peers::checkSilence()
{
    const auto now = base::now();
    for (auto &[id, peer] : m_peers) {
        const auto limit = peer.isNear ? m_options.silentAfter : m_options.silentAfter + m_options.farInterval;
        if (peer.isSilent || now < peer.heardAt + limit) {
            continue;
        }
        peer.isSilent = true;
        telemetry::log(LogLevel::Warning, "peers", "silent", {{"daemon", id.text()}, {"age_ms", base::millisecondsBetween(peer.heardAt, now)}});
        if (m_hooks.onSilent) {
            m_hooks.onSilent(id);
        }
    }
}

void Peers::leave()
{
    if (std::exchange(m_isLeaving, true)) {
        return;
    }
    tell();
    m_table.transact({{keyOf(m_self.id), std::nullopt, std::nullopt}}, [](const store::WriteResult &) {
        // A row that stays names a daemon that is not heard, which is as good.
    });
}

std::size_t Peers::others() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_peers, [](const auto &it) { return !it.second.isSilent || !it.second.isNear; }));
}

std::size_t Peers::near() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_peers, [](const auto &it) { return !it.second.isSilent && it.second.isNear; }));
}

bool Peers::isReader() const
{
    return std::ranges::none_of(m_peers, [this](const auto &it) {
        const auto &peer = it.second;
        const bool isServing = !peer.isSilent && peer.isNear && peer.notice && !peer.notice->isLeaving;
        return isServing && it.first < m_self.id;
    });
}

std::vector<std::pair<PeerAddress, PeerNotice>> Peers::serving() const
{
    std::vector<std::pair<PeerAddress, PeerNotice>> serving;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.isSilent && peer.isNear && peer.address && peer.notice && peer.notice->isReady && !peer.notice->isLeaving) {
            serving.emplace_back(*peer.address, *peer.notice);
        }
    }
    return serving;
}

std::optional<base::DaemonId> Peers::holder() const
{
    std::optional<base::DaemonId> holder;
    base::Term highest;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.isSilent && peer.notice && peer.notice->term > highest) {
            highest = peer.notice->term;
            holder = id;
        }
    }
    return holder;
}

} // namespace turmericplank::gateway
