#include "turmericplank/routing/loadestimate.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::routing {

namespace {

constexpr std::size_t MaxEndedAttempts = 64;
constexpr base::Duration RecentWorkDecayTime = std::chrono::milliseconds(500); ///< mean age of what daemons know of each other from heartbeats
constexpr double NegligibleStreams = 0.01;

void addScaled(Work &sum, const EndpointWork &work, double sign)
{
    sum.streams += sign * work.streams;
    sum.urgentWaiting += sign * work.urgentWaiting;
    sum.otherWaiting += sign * work.otherWaiting;
    sum.urgentTokens += sign * work.urgentTokens;
    sum.otherTokens += sign * work.otherTokens;
}

Work scaled(const Work &work, double factor)
{
    return {work.streams * factor, work.urgentWaiting * factor, work.otherWaiting * factor, work.urgentTokens * factor, work.otherTokens * factor};
}

Work sumOf(const Work &a, const Work &b)
{
    return {a.streams + b.streams, a.urgentWaiting + b.urgentWaiting, a.otherWaiting + b.otherWaiting, a.urgentTokens + b.urgentTokens,
            a.otherTokens + b.otherTokens};
}

} // namespace

void LoadEstimate::add(const AttemptWork &work, double sign)
{
    m_own.streams += sign;
    if (work.hasFirstToken) {
        return;
    }
    const bool isUrgent = work.priority == base::Priority::Urgent;
    (isUrgent ? m_own.urgentWaiting : m_own.otherWaiting) += sign;
    (isUrgent ? m_own.urgentTokens : m_own.otherTokens) += sign * work.promptTokens;
}

void LoadEstimate::noteSent(std::uint64_t ticket, AttemptWork work)
{
    if (!m_attempts.emplace(ticket, work).second) {
        return;
    }
    const auto before = m_own;
    add(work, 1);
    m_recentWork = sumOf(recentWork(work.sentAt), sumOf(m_own, scaled(before, -1)));
    m_recentWorkAt = work.sentAt;
}

void LoadEstimate::noteFirstToken(std::uint64_t ticket)
{
    const auto it = m_attempts.find(ticket);
    if (it == m_attempts.end() || it->second.hasFirstToken) {
        return;
    }
    add(it->second, -1);
    it->second.hasFirstToken = true;
    add(it->second, 1);
}

void LoadEstimate::noteEnded(std::uint64_t ticket, base::Time now)
{
    const auto it = m_attempts.find(ticket);
    if (it == m_attempts.end()) {
        return;
    }
    add(it->second, -1);
    const EndedAttempt ended{it->second.sentAt, now};
    m_attempts.erase(it);
    if (m_ended.size() < MaxEndedAttempts) {
        m_ended.push_back(ended);
        return;
    }
    m_ended[m_endedNext] = ended;
    m_endedNext = (m_endedNext + 1) % MaxEndedAttempts;
}

void LoadEstimate::noteReport(const LoadReport &report, double averagePromptTokens)
{
    if (report.takenAt < m_reportTakenAt) {
        return;
    }
    m_reportTakenAt = report.takenAt;
    const auto at = report.takenAt;
    const auto inFlight = std::ranges::count_if(m_attempts, [at](const auto &it) { return it.second.sentAt <= at; });
    const auto endedSince = std::ranges::count_if(m_ended, [at](const auto &it) { return it.sentAt <= at && it.endedAt > at; });
    const auto own = static_cast<double>(inFlight + endedSince);
    m_reported.streams = std::max(0.0, report.running + report.waiting - own);
    const double waitingForOthers = std::min<double>(report.waiting, m_reported.streams);
    m_reported.otherWaiting = waitingForOthers;
    m_reported.otherTokens = waitingForOthers * averagePromptTokens;
}

void LoadEstimate::notePeer(const base::DaemonId &from, const EndpointWork &work)
{
    auto &known = m_peers[from];
    addScaled(m_peerSum, known, -1);
    known = work;
    addScaled(m_peerSum, known, 1);
}

void LoadEstimate::forgetPeer(const base::DaemonId &from)
{
    const auto it = m_peers.find(from);
    if (it != m_peers.end()) {
        addScaled(m_peerSum, it->second, -1);
        m_peers.erase(it);
    }
}

Work LoadEstimate::recentWork(base::Time now) const
{
    if (m_recentWork.streams < NegligibleStreams) {
        return {};
    }
    const double age = std::chrono::duration<double>(now - m_recentWorkAt) / std::chrono::duration<double>(RecentWorkDecayTime);
    return scaled(m_recentWork, std::exp(-std::max(0.0, age)));
}

Work LoadEstimate::estimate(bool isPeerWorkComplete, double similarDaemons, base::Time now) const
{
    const auto known = sumOf(m_own, isPeerWorkComplete ? m_peerSum : m_reported);
    return sumOf(known, scaled(recentWork(now), similarDaemons));
}

Work LoadEstimate::ownWork() const
{
    return m_own;
}

const std::map<base::DaemonId, EndpointWork> &LoadEstimate::peers() const
{
    return m_peers;
}

void LoadEstimate::expire(base::Time now)
{
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        if (it->second.expiresAt > now) {
            ++it;
            continue;
        }
        add(it->second, -1);
        it = m_attempts.erase(it);
    }
}

base::Time LoadEstimate::oldestPending() const
{
    auto oldest = base::Time::max();
    for (const auto &[ticket, work] : m_attempts) {
        if (!work.hasFirstToken) {
            oldest = std::min(oldest, work.sentAt);
        }
    }
    return oldest;
}

} // namespace turmericplank::routing
