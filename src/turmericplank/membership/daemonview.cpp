#include "turmericplank/membership/daemonview.hpp"

#include <algorithm>

namespace turmericplank::membership {

namespace {

/// Low bits of a sequence number. They count the heartbeats of one incarnation; the higher bits hold the incarnation, so that sequence
/// numbers of different incarnations differ.
constexpr unsigned SequenceBits = 20;

} // namespace

std::string_view toString(LiveState state)
{
    switch (state) {
    case LiveState::Live:
        return "live";
    case LiveState::Suspect:
        return "suspect";
    case LiveState::Leaving:
        return "leaving";
    case LiveState::Gone:
        return "gone";
    }
    return "unknown";
}

DaemonView::DaemonView(DaemonRecord self, base::Incarnation incarnation, DaemonViewOptions options)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_options(std::move(options))
    , m_detector(m_options.detector)
    , m_sequence(incarnation.value() << SequenceBits)
{
}

void DaemonView::noteRecords(const std::vector<DaemonRecord> &records, base::Time now)
{
    for (const auto &it : records) {
        if (it.id == m_self.id) {
            continue;
        }
        m_peers[it.id].record = it;
        m_detector.watch(it.id, now);
    }
    std::erase_if(m_peers, [&](const auto &peer) {
        const bool isRegistered = std::ranges::any_of(records, [&](const DaemonRecord &it) { return it.id == peer.first; });
        const bool isForgotten = !isRegistered && m_detector.silence(peer.first, now) > m_options.detector.goneAfter;
        if (isForgotten) {
            m_detector.forget(peer.first);
        }
        return isForgotten;
    });
}

void DaemonView::noteList(const std::vector<ListedVm> &vms, base::Time now)
{
    const bool isFirst = !m_list.isListed(m_self.id.text());
    m_list.update(vms, now);
    if (isFirst) {
        // The list is delayed, so a leaving mark in the first one refers to the previous process on this VM.
        m_list.noteReplaced(m_self.id.text());
    }
}

bool DaemonView::accepts(Peer &peer, const Heartbeat &heartbeat, base::Time now) const
{
    if (heartbeat.incarnation == peer.incarnation) {
        return heartbeat.sequence > peer.sequence;
    }
    if (m_options.rules.isNewer(peer.incarnation, heartbeat.incarnation)) {
        return true;
    }
    // A replaced VM whose clock is behind starts with a lower incarnation than its predecessor. It is accepted once the
    // predecessor has been silent for so long that none of its heartbeats can still be in transit.
    const bool isPredecessorSilent = m_detector.silence(heartbeat.from, now) > m_options.detector.goneAfter;
    return isPredecessorSilent;
}

bool DaemonView::noteHeartbeat(const Heartbeat &heartbeat, base::Time now)
{
    const auto it = m_peers.find(heartbeat.from);
    if (it == m_peers.end() || !accepts(it->second, heartbeat, now)) {
        return false;
    }
    auto &peer = it->second;
    const bool isReplaced = peer.incarnation != heartbeat.incarnation;
    if (isReplaced && peer.incarnation != base::Incarnation()) {
        m_list.noteReplaced(heartbeat.from.text());
    }
    if (isReplaced) {
        peer.incarnationSince = now;
    }
    peer.incarnation = heartbeat.incarnation;
    peer.sequence = heartbeat.sequence;
    peer.reportsLeaving = heartbeat.isLeaving;
    peer.load = heartbeat.load;
    peer.revision = heartbeat.revision;
    peer.marks = heartbeat.leaving;
    peer.newestHeardAge = base::Duration::max();
    peer.heardThisDaemonAge = base::Duration::max();
    const auto myName = shortName(m_self.id.text());
    for (const auto &heard : heartbeat.heard) {
        const base::Duration age = std::chrono::milliseconds(heard.milliseconds);
        peer.newestHeardAge = std::min(peer.newestHeardAge, age);
        if (heard.daemon == myName) {
            peer.heardThisDaemonAge = age;
        }
    }
    m_detector.noteHeartbeat(heartbeat, now);
    return true;
}

void DaemonView::tick(base::Time now)
{
    m_detector.tick(now);
}

void DaemonView::leave()
{
    m_isLeaving = true;
}

bool DaemonView::isLeaving() const
{
    return m_isLeaving;
}

int DaemonView::leavingSources(const base::DaemonId &daemon, const Peer &peer, base::Time now) const
{
    int sources = peer.reportsLeaving ? 1 : 0;
    sources += m_list.isLeaving(daemon.text()) ? 1 : 0;
    const auto name = shortName(daemon.text());
    for (const auto &[other, it] : m_peers) {
        if (m_detector.silence(other, now) > m_options.detector.goneAfter) {
            continue;
        }
        const auto concernsDaemon = [&](const LeavingMark &mark) {
            return mark.subject == name && mark.incarnation >= peer.incarnation;
        };
        sources += std::ranges::any_of(it.marks, concernsDaemon) ? 1 : 0;
    }
    return sources;
}

bool DaemonView::hearsNoDaemon(const Peer &peer, base::Time now) const
{
    // A daemon that has just started has not had time to hear others.
    const bool isStarting = now - peer.incarnationSince <= m_options.detector.suspectAfter;
    return peer.incarnation != base::Incarnation() && !isStarting && peer.newestHeardAge > m_options.detector.suspectAfter;
}

LiveState DaemonView::state(const base::DaemonId &daemon, base::Time now) const
{
    if (daemon == m_self.id) {
        return m_isLeaving || m_list.isLeaving(daemon.text()) ? LiveState::Leaving : LiveState::Live;
    }
    const auto it = m_peers.find(daemon);
    if (it == m_peers.end()) {
        return LiveState::Gone;
    }
    const auto silence = m_detector.silence(daemon, now);
    const auto &rules = m_options.rules;
    const bool isKeptByList = rules.doesListOverride(m_list.fetchedAt(), now - silence) && m_list.isListed(daemon.text()).value_or(false);
    const bool mayBeDeclaredGone = rules.mayDeclareGone(m_detector.isIsolated(now)) || m_list.isRemoved(daemon.text());
    if (silence > m_options.detector.goneAfter && !isKeptByList && mayBeDeclaredGone) {
        return LiveState::Gone;
    }
    if (rules.isMarkEnough(leavingSources(daemon, it->second, now))) {
        return LiveState::Leaving;
    }
    if (silence > m_options.detector.suspectAfter && !isKeptByList) {
        return LiveState::Suspect;
    }
    const bool isSuspect = !m_detector.wasHeard(daemon) || hearsNoDaemon(it->second, now);
    return isSuspect ? LiveState::Suspect : LiveState::Live;
}

std::vector<Member> DaemonView::members(base::Time now) const
{
    std::vector<Member> all;
    all.reserve(m_peers.size() + 1);
    all.push_back({m_self, state(m_self.id, now), true, m_incarnation, 0, {}});
    for (const auto &[daemon, peer] : m_peers) {
        const auto limit = m_options.detector.suspectAfter;
        const bool isHeard = m_detector.directSilence(daemon, now) <= limit;
        const bool hearsThisDaemon = peer.incarnation == base::Incarnation() || peer.heardThisDaemonAge <= limit;
        all.push_back({peer.record, state(daemon, now), isHeard && hearsThisDaemon, peer.incarnation, peer.load, peer.revision});
    }
    return all;
}

Heartbeat DaemonView::heartbeat(base::Time now)
{
    Heartbeat it;
    it.from = m_self.id;
    it.incarnation = m_incarnation;
    it.sequence = ++m_sequence;
    it.isLeaving = state(m_self.id, now) == LiveState::Leaving;
    it.heard = m_detector.heardAges(now);
    for (const auto &[daemon, peer] : m_peers) {
        if (peer.reportsLeaving || m_list.isLeaving(daemon.text())) {
            it.leaving.push_back({shortName(daemon.text()), peer.incarnation});
        }
    }
    return it;
}

std::vector<base::DaemonId> DaemonView::heardDaemons(base::Time now) const
{
    std::vector<base::DaemonId> heard;
    for (const auto &[daemon, peer] : m_peers) {
        if (peer.incarnation != base::Incarnation() && m_detector.directSilence(daemon, now) <= m_options.detector.suspectAfter) {
            heard.push_back(daemon);
        }
    }
    return heard;
}

const DaemonRecord &DaemonView::self() const
{
    return m_self;
}

} // namespace turmericplank::membership
