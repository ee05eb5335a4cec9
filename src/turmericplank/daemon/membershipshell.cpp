#include "turmericplank/daemon/membershipshell.hpp"

#include <algorithm>

#include "daemonrecordtext.hpp"
#include "turmericplank/base/digest.hpp"
#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::daemon {

namespace {

using membership::LiveState;
using telemetry::LogLevel;

constexpr auto TickInterval = std::chrono::milliseconds(100);
constexpr auto HeartbeatInterval = std::chrono::milliseconds(1000);
constexpr auto VmListInterval = std::chrono::seconds(5);
constexpr auto RecordsInterval = std::chrono::seconds(5);
constexpr auto StartRecordsInterval = std::chrono::seconds(1); ///< interval between reads of the records during StartPhase
constexpr auto StartPhase = std::chrono::seconds(15);
constexpr auto CallTimeout = std::chrono::seconds(2);
constexpr std::size_t MaxWorkEntries = 20; ///< endpoints in a heartbeat; keeps seven heartbeats per second within 6 KB
constexpr const char *HeartbeatKind = "membership/heartbeat";

std::string recordPrefix(const Settings &settings)
{
    return "daemons/" + settings.cell.text() + '/';
}

membership::DaemonRecord ownRecord(const Settings &settings)
{
    return {settings.id, settings.zone, settings.callerListen, settings.peerListen};
}

routing::EndpointStatus toStatus(LiveState state)
{
    switch (state) {
    case LiveState::Live:
        return routing::EndpointStatus::Live;
    case LiveState::Suspect:
        return routing::EndpointStatus::Suspect;
    case LiveState::Leaving:
        return routing::EndpointStatus::Leaving;
    case LiveState::Gone:
        return routing::EndpointStatus::Gone;
    }
    return routing::EndpointStatus::Suspect;
}

} // namespace

MembershipShell::MembershipShell(Environment &environment, RoutingShell &routing, MembershipShellHooks hooks)
    : m_environment(environment)
    , m_routing(routing)
    , m_hooks(std::move(hooks))
    , m_incarnation(static_cast<std::uint64_t>(base::toMilliseconds(base::now())))
    , m_view(ownRecord(environment.settings), m_incarnation)
    , m_callerLimits(environment.settings.id)
    , m_startedAt(base::now())
{
    RoutingShellHooks routingHooks;
    routingHooks.onAnswer = [this](const base::EndpointId &endpoint, base::Incarnation incarnation, bool isLeaving) {
        m_endpoints.noteAnswer(endpoint, incarnation, isLeaving, base::now());
        updateStates();
    };
    routingHooks.onFailure = [this](const base::EndpointId &endpoint) {
        m_endpoints.noteFailure(endpoint, base::now());
        updateStates();
    };
    routingHooks.pollDuty = [this](const base::EndpointId &endpoint) {
        return pollDuty(endpoint);
    };
    m_routing.setHooks(std::move(routingHooks));
    environment.peers.handle(HeartbeatKind, [this](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
        receiveHeartbeat(from, body);
        answer.end();
    });
    environment.callerRoutes.add("GET", "/v1/entry", [this](const net::ExchangePointer &it) { answerEntry(it); });
    environment.operatorRoutes.add("GET", "/admin/members", [this](const net::ExchangePointer &it) { answerMembers(it); });
    environment.operatorRoutes.add("POST", "/admin/drain", [this](const net::ExchangePointer &exchange) {
        exchange->respond({202, {}, {}});
        if (m_hooks.onDrainRequested) {
            m_hooks.onDrainRequested();
        }
    });
    callEvery(environment.context, TickInterval, [this] { tick(); });
}

void MembershipShell::apply(const configuration::Document &document)
{
    std::vector<base::EndpointId> endpoints;
    for (const auto &[id, it] : document.endpoints) {
        endpoints.push_back(id);
    }
    for (const auto &[name, service] : document.services) {
        for (const auto &it : service.instances) {
            endpoints.push_back(it.id);
        }
    }
    m_endpoints.setEndpoints(endpoints, base::now());
    m_endpointNames.clear();
    std::map<base::EndpointId, LiveState> states;
    for (const auto &it : endpoints) {
        m_endpointNames.emplace(membership::shortName(it.text()), it);
        const auto known = m_endpointStates.find(it);
        states.emplace(it, known == m_endpointStates.end() ? LiveState::Live : known->second);
    }
    m_endpointStates = std::move(states);
    m_pollOrder.clear();
    for (const auto &[id, it] : document.endpoints) {
        m_pollOrder.emplace(id, m_pollOrder.size());
    }
}

void MembershipShell::tick()
{
    const auto now = base::now();
    m_view.tick(now);
    m_callerLimits.update(m_view.members(now), now);
    m_liveDaemons.clear();
    for (const auto &it : m_view.members(now)) {
        if (it.state == LiveState::Live) {
            m_liveDaemons.push_back(it.record.id);
        }
    }
    std::ranges::sort(m_liveDaemons);
    if (now >= m_nextRecordsAt) {
        m_nextRecordsAt = now + (now < m_startedAt + StartPhase ? StartRecordsInterval : RecordsInterval);
        readRecords();
    }
    if (now >= m_nextVmListAt) {
        m_nextVmListAt = now + VmListInterval;
        readVirtualMachines();
    }
    if (now >= m_nextHeartbeatAt) {
        m_nextHeartbeatAt = now + HeartbeatInterval;
        sendHeartbeats();
    }
    updateStates();
    if (m_drain && m_onUnreferenced && now >= m_drain->rejectFrom()) {
        telemetry::log(LogLevel::Info, "membership", "no caller holds this address any more");
        std::exchange(m_onUnreferenced, nullptr)();
    }
}

void MembershipShell::sendHeartbeats()
{
    const auto now = base::now();
    auto heartbeat = m_view.heartbeat(now);
    m_endpoints.fill(heartbeat);
    heartbeat.load = m_hooks.load ? m_hooks.load() : 0;
    heartbeat.revision = m_hooks.revision ? m_hooks.revision() : base::Revision();
    for (const auto &it : m_workSelector.select(m_routing.router().ownWork(), MaxWorkEntries, now)) {
        heartbeat.work.push_back({membership::shortName(it.endpoint.text()), it.streams, it.urgentWaiting, it.otherWaiting, it.urgentTokens, it.otherTokens});
    }
    heartbeat.shares = m_callerLimits.claims(heartbeat.sequence, now);
    for (const auto &it : m_routing.ownReports()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(it.age).count();
        heartbeat.reports.push_back({membership::shortName(it.endpoint.text()), static_cast<std::uint32_t>(age), it.running, it.waiting, it.contentHash});
    }
    for (const auto &it : m_view.members(now)) {
        if (it.record.id != m_view.self().id) {
            heartbeat.receiverSequence = m_lastSequences[it.record.id];
            heartbeat.receiverUseUntil = m_directory.lastUseUntil(it.record.id);
            sendHeartbeat(it, heartbeat);
        }
    }
}

void MembershipShell::sendHeartbeat(const membership::Member &member, membership::Heartbeat heartbeat)
{
    peer::PeerCall call;
    call.kind = HeartbeatKind;
    call.body = encode(heartbeat);
    call.timeout = CallTimeout;
    m_environment.metrics.count("membership_heartbeat_bytes_total", call.body.size());
    call.onChunk = [](std::string_view) {
    };
    call.onEnd = [](tl::expected<void, peer::PeerFailure>) {
    };
    m_environment.peers.call(member.record.peerAddress, std::move(call));
}

void MembershipShell::receiveHeartbeat(const base::DaemonId &from, const std::string &body)
{
    const auto heartbeat = membership::decodeHeartbeat(body);
    if (!heartbeat || heartbeat->from != from) {
        telemetry::log(LogLevel::Warning, "membership", "malformed heartbeat", {{"from", from.text()}});
        return;
    }
    const auto now = base::now();
    if (!m_view.noteHeartbeat(*heartbeat, now)) {
        return;
    }
    m_lastSequences[from] = heartbeat->sequence;
    m_endpoints.noteHeartbeat(*heartbeat);
    applyWork(*heartbeat);
    m_callerLimits.applyHeartbeat(*heartbeat);
    applyReports(*heartbeat);
    if (m_hooks.onRevision) {
        m_hooks.onRevision(from, heartbeat->revision);
    }
    if (m_drain) {
        const auto self = membership::shortName(m_view.self().id.text());
        const auto isAboutSelf = [&](const membership::LeavingMark &it) {
            return it.subject == self && it.incarnation == m_incarnation;
        };
        m_drain->noteHeartbeat(from, heartbeat->receiverUseUntil, std::ranges::any_of(heartbeat->leaving, isAboutSelf));
    }
    updateStates();
}

void MembershipShell::applyWork(const membership::Heartbeat &heartbeat)
{
    auto &incarnation = m_incarnations[heartbeat.from];
    if (incarnation != heartbeat.incarnation) {
        m_routing.router().forgetPeer(heartbeat.from);
        incarnation = heartbeat.incarnation;
    }
    std::vector<routing::EndpointWork> work;
    for (const auto &it : heartbeat.work) {
        const auto name = m_endpointNames.find(it.endpoint);
        if (name != m_endpointNames.end()) {
            work.push_back({name->second, it.streams, it.urgentWaiting, it.otherWaiting, it.urgentTokens, it.otherTokens});
        }
    }
    m_routing.router().notePeerWork(heartbeat.from, work, base::now());
}

void MembershipShell::applyReports(const membership::Heartbeat &heartbeat)
{
    for (const auto &it : heartbeat.reports) {
        const auto name = m_endpointNames.find(it.endpoint);
        if (name != m_endpointNames.end()) {
            m_routing.applyReport({name->second, std::chrono::milliseconds(it.ageMilliseconds), it.running, it.waiting, it.contentHash});
        }
    }
    for (const auto &it : heartbeat.suspects) {
        const auto name = m_endpointNames.find(it.endpoint);
        if (name != m_endpointNames.end()) {
            m_routing.pollSoon(name->second);
        }
    }
}

void MembershipShell::readRecords()
{
    m_environment.table.readPrefix(recordPrefix(m_environment.settings), [this](const store::ReadResult &rows) {
        if (!rows) {
            return;
        }
        std::vector<membership::DaemonRecord> records;
        for (const auto &it : *rows) {
            if (const auto record = parseDaemonRecord(it.value)) {
                records.push_back(*record);
            }
        }
        const bool isRegistered = std::ranges::find(records, m_view.self()) != records.end();
        m_view.noteRecords(records, base::now());
        if (!isRegistered && !m_view.isLeaving()) {
            writeRecord();
        }
    });
}

void MembershipShell::writeRecord()
{
    const auto key = recordPrefix(m_environment.settings) + m_view.self().id.text();
    m_environment.table.transact({{key, std::nullopt, daemonRecordText(m_view.self())}}, [](const store::WriteResult &result) {
        // If the response was lost, the next read of the records shows whether the write took effect.
        if (!result) {
            telemetry::log(LogLevel::Warning, "membership", "registration not confirmed");
        }
    });
}

void MembershipShell::readVirtualMachines()
{
    m_environment.listVirtualMachines([this](const tl::expected<std::vector<store::VirtualMachine>, store::TableFailure> &list) {
        if (!list) {
            return;
        }
        std::vector<membership::ListedVm> vms;
        for (const auto &it : *list) {
            vms.push_back({it.id, it.isLeaving});
        }
        m_view.noteList(vms, base::now());
        m_endpoints.noteList(vms, base::now());
        updateStates();
    });
}

void MembershipShell::updateStates()
{
    const auto now = base::now();
    const auto heard = m_view.heardDaemons(now);
    for (auto &[endpoint, current] : m_endpointStates) {
        const auto state = m_endpoints.state(endpoint, heard, now);
        if (current != state) {
            current = state;
            m_routing.setStatus(endpoint, toStatus(state));
            telemetry::log(LogLevel::Info, "membership", "endpoint changed", {{"endpoint", endpoint.text()}, {"state", toString(state)}});
            // Notify the other daemons at once, so that they also stop sending new work to a leaving endpoint.
            m_nextHeartbeatAt = now;
        }
    }
    for (const auto &it : m_view.members(now)) {
        const auto [logged, isNew] = m_loggedStates.try_emplace(it.record.id, LiveState::Live);
        if (!isNew && logged->second == it.state) {
            continue;
        }
        logged->second = it.state;
        if (it.state == LiveState::Gone) {
            m_routing.router().forgetPeer(it.record.id);
        }
        telemetry::log(LogLevel::Info, "membership", "daemon changed",
                       {{"daemon", it.record.id.text()}, {"state", toString(it.state)}, {"incarnation", it.incarnation.value()}});
    }
}

void MembershipShell::leave(std::function<void()> onUnreferenced)
{
    if (m_drain) {
        return;
    }
    const auto now = base::now();
    m_view.leave();
    const auto &limits = membership::DetectorOptions();
    // A daemon that hears this one neither directly nor through others does not learn of the drain and keeps directing callers here
    // until it suspects this daemon.
    const auto unheardUntil = now + limits.suspectAfter + limits.suspectAfter + m_directory.answerLifetime();
    m_drain.emplace(now, m_directory.lastUseUntil(m_view.self().id), unheardUntil);
    for (const auto &it : m_view.members(now)) {
        if (it.record.id != m_view.self().id && it.state != LiveState::Gone) {
            m_drain->expect(it.record.id);
        }
    }
    m_onUnreferenced = std::move(onUnreferenced);
    telemetry::log(LogLevel::Info, "membership", "leaving");
    sendHeartbeats();
    const auto key = recordPrefix(m_environment.settings) + m_view.self().id.text();
    m_environment.table.transact({{key, std::nullopt, std::nullopt}}, [](const store::WriteResult &) {});
}

std::vector<membership::Member> MembershipShell::members() const
{
    return m_view.members(base::now());
}

std::vector<membership::Member> MembershipShell::others() const
{
    auto all = members();
    std::erase_if(all, [this](const membership::Member &it) {
        return it.record.id == m_view.self().id || !it.isReachable || it.state == LiveState::Suspect || it.state == LiveState::Gone;
    });
    return all;
}

requests::CallerLimit MembershipShell::localLimit(const base::CallerName &caller, const requests::CallerLimit &totalLimit)
{
    return m_callerLimits.localLimit(caller, totalLimit, base::now());
}

bool MembershipShell::isUsable(const base::EndpointId &endpoint) const
{
    const auto it = m_endpointStates.find(endpoint);
    return it == m_endpointStates.end() || it->second == LiveState::Live || it->second == LiveState::Suspect;
}

std::vector<base::Address> MembershipShell::otherCallerAddresses()
{
    const auto answer = m_directory.answer(others(), m_view.self().zone, base::now(), m_environment.random);
    return answer ? answer->addresses : std::vector<base::Address>();
}

/// Assigns endpoints to the live daemons round-robin, so that all daemons poll equally many; the next daemon is the backup.
routing::PollDuty MembershipShell::pollDuty(const base::EndpointId &endpoint) const
{
    const auto order = m_pollOrder.find(endpoint);
    const auto self = std::ranges::find(m_liveDaemons, m_view.self().id);
    if (order == m_pollOrder.end() || self == m_liveDaemons.end()) {
        return routing::PollDuty::Primary;
    }
    const auto own = static_cast<std::size_t>(self - m_liveDaemons.begin());
    const auto turn = (own + m_liveDaemons.size() - order->second % m_liveDaemons.size()) % m_liveDaemons.size();
    return turn == 0 ? routing::PollDuty::Primary : turn == 1 ? routing::PollDuty::Backup : routing::PollDuty::Other;
}

} // namespace turmericplank::daemon
