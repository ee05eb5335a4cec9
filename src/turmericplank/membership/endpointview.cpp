#include "turmericplank/membership/endpointview.hpp"

#include <algorithm>

namespace turmericplank::membership {

EndpointView::EndpointView(EndpointViewOptions options)
    : m_options(std::move(options))
{
}

void EndpointView::setEndpoints(const std::vector<base::EndpointId> &endpoints, base::Time now)
{
    std::map<base::EndpointId, EndpointState> kept;
    for (const auto &it : endpoints) {
        const auto known = m_endpoints.find(it);
        EndpointState fresh;
        fresh.name = shortName(it.text());
        fresh.watchedFrom = now;
        kept.emplace(it, known == m_endpoints.end() ? fresh : known->second);
    }
    m_endpoints = std::move(kept);
}

void EndpointView::noteAnswer(const base::EndpointId &endpoint, base::Incarnation incarnation, bool isLeaving, base::Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end() || incarnation < it->second.incarnation) {
        return;
    }
    auto &known = it->second;
    if (incarnation > known.incarnation && known.incarnation != base::Incarnation()) {
        m_list.noteReplaced(endpoint.text());
    }
    known.incarnation = incarnation;
    known.reportsLeaving = isLeaving;
    known.answeredAt = now;
    known.failuresInRow = 0;
}

void EndpointView::noteFailure(const base::EndpointId &endpoint, base::Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end()) {
        ++it->second.failuresInRow;
        it->second.failedAt = now;
    }
}

void EndpointView::noteList(const std::vector<ListedVm> &vms, base::Time now)
{
    m_list.update(vms, now);
}

void EndpointView::noteHeartbeat(const Heartbeat &heartbeat)
{
    m_peerOpinions[heartbeat.from] = {heartbeat.suspects, heartbeat.leaving};
}

void EndpointView::forgetDaemon(const base::DaemonId &daemon)
{
    m_peerOpinions.erase(daemon);
}

bool EndpointView::isSuspected(const EndpointState &known) const
{
    return known.failuresInRow >= m_options.failuresToSuspect;
}

int EndpointView::leavingSources(const base::EndpointId &endpoint, const EndpointState &known) const
{
    int sources = known.reportsLeaving ? 1 : 0;
    sources += m_list.isLeaving(endpoint.text()) ? 1 : 0;
    const auto concernsEndpoint = [&](const LeavingMark &mark) {
        return mark.subject == known.name && m_options.rules.appliesTo(mark.incarnation, known.incarnation);
    };
    for (const auto &[daemon, opinions] : m_peerOpinions) {
        sources += std::ranges::any_of(opinions.leaving, concernsEndpoint) ? 1 : 0;
    }
    return sources;
}

bool EndpointView::hasQuorum(const EndpointState &known, const std::vector<base::DaemonId> &heard, std::size_t ownVote) const
{
    std::size_t voters = ownVote;
    std::size_t suspecting = ownVote;
    for (const auto &it : heard) {
        const auto opinions = m_peerOpinions.find(it);
        if (opinions == m_peerOpinions.end()) {
            continue;
        }
        ++voters;
        const auto concernsEndpoint = [&](const EndpointOpinion &opinion) {
            return opinion.endpoint == known.name && opinion.isSuspect;
        };
        suspecting += std::ranges::any_of(opinions->second.suspects, concernsEndpoint) ? 1 : 0;
    }
    return voters > 0 && m_options.rules.hasQuorum(suspecting, voters);
}

LiveState EndpointView::state(const base::EndpointId &endpoint, const std::vector<base::DaemonId> &heard, base::Time now) const
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end()) {
        return LiveState::Gone;
    }
    const auto &known = it->second;
    const bool isKeptByList = m_options.rules.doesListOverride(m_list.fetchedAt(), known.failedAt) && m_list.isListed(endpoint.text()).value_or(false);
    const bool isSuspectedLocally = isSuspected(known) && !isKeptByList;
    const bool isSuspectedByQuorum = hasQuorum(known, heard, isSuspectedLocally ? 1 : 0);
    const auto silentSince = std::max(known.answeredAt, known.watchedFrom);
    const bool isRemovedFromList = m_list.isRemoved(endpoint.text());
    if (isSuspectedLocally && now - silentSince > m_options.goneAfter && (isSuspectedByQuorum || isRemovedFromList)) {
        return LiveState::Gone;
    }
    if (m_options.rules.isMarkEnough(leavingSources(endpoint, known))) {
        return LiveState::Leaving;
    }
    const bool hasRecentAnswer = known.failuresInRow == 0 && now - known.answeredAt <= m_options.ownAnswerLifetime;
    return isSuspectedLocally || (isSuspectedByQuorum && !hasRecentAnswer) ? LiveState::Suspect : LiveState::Live;
}

void EndpointView::fill(Heartbeat &heartbeat) const
{
    for (const auto &[endpoint, known] : m_endpoints) {
        if (isSuspected(known)) {
            heartbeat.suspects.push_back({known.name, true});
        }
        if (known.reportsLeaving || m_list.isLeaving(endpoint.text())) {
            heartbeat.leaving.push_back({known.name, known.incarnation});
        }
    }
}

} // namespace turmericplank::membership
