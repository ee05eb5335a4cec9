#include "turmericplank/membership/endpointview.hpp"

#include <algorithm>

namespace turmericplank::membership {

EndpointView::EndpointView(EndpointViewOptions options)
    : m_options(std::move(options))
{
}

void EndpointView::setEndpoints(const std::vector<base::EndpointId> &endpoints, base::Time now)
{
    std::map<base::EndpointId, Known> kept;
    for (const auto &it : endpoints) {
        const auto known = m_endpoints.find(it);
        Known fresh;
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
    known.saysLeaving = isLeaving;
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

void EndpointView::noteList(const std::vector<ListedVm> &machines, base::Time now)
{
    m_list.update(machines, now);
}

void EndpointView::noteHeartbeat(const Heartbeat &heartbeat)
{
    m_words[heartbeat.from] = {heartbeat.suspects, heartbeat.leaving};
}

void EndpointView::forgetDaemon(const base::DaemonId &daemon)
{
    m_words.erase(daemon);
}

bool EndpointView::isSuspected(const Known &known) const
{
    return known.failuresInRow >= m_options.failuresToSuspect;
}

int EndpointView::leavingSources(const base::EndpointId &endpoint, const Known &known) const
{
    int sources = known.saysLeaving ? 1 : 0;
    sources += m_list.isLeaving(endpoint.text()) ? 1 : 0;
    const auto isAboutIt = [&](const LeavingMark &mark) {
        return mark.subject == known.name && m_options.rules.appliesTo(mark.incarnation, known.incarnation);
    };
    for (const auto &[daemon, words] : m_words) {
        sources += std::ranges::any_of(words.leaving, isAboutIt) ? 1 : 0;
    }
    return sources;
}

bool EndpointView::isAgreed(const Known &known, const std::vector<base::DaemonId> &heard, std::size_t ownVote) const
{
    std::size_t asked = ownVote;
    std::size_t suspecting = ownVote;
    for (const auto &it : heard) {
        const auto words = m_words.find(it);
        if (words == m_words.end()) {
            continue;
        }
        ++asked;
        const auto isAboutIt = [&](const EndpointOpinion &opinion) {
            return opinion.endpoint == known.name && opinion.isSuspect;
        };
        suspecting += std::ranges::any_of(words->second.suspects, isAboutIt) ? 1 : 0;
    }
    return asked > 0 && m_options.rules.isAgreed(suspecting, asked);
}

LiveState EndpointView::state(const base::EndpointId &endpoint, const std::vector<base::DaemonId> &heard, base::Time now) const
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end()) {
        return LiveState::Gone;
    }
    const auto &known = it->second;
    const bool isKept = m_options.rules.doesListOverrule(m_list.fetchedAt(), known.failedAt) && m_list.isListed(endpoint.text()).value_or(false);
    const bool isSuspectedHere = isSuspected(known) && !isKept;
    const bool isAgreedOn = isAgreed(known, heard, isSuspectedHere ? 1 : 0);
    const auto silentSince = std::max(known.answeredAt, known.watchedFrom);
    const bool isAbsent = m_list.isRemoved(endpoint.text());
    if (isSuspectedHere && now - silentSince > m_options.goneAfter && (isAgreedOn || isAbsent)) {
        return LiveState::Gone;
    }
    if (m_options.rules.isMarkEnough(leavingSources(endpoint, known))) {
        return LiveState::Leaving;
    }
    const bool hasOwnAnswer = known.failuresInRow == 0 && now - known.answeredAt <= m_options.evidenceLifetime;
    return isSuspectedHere || (isAgreedOn && !hasOwnAnswer) ? LiveState::Suspect : LiveState::Live;
}

void EndpointView::fill(Heartbeat &heartbeat) const
{
    for (const auto &[endpoint, known] : m_endpoints) {
        if (isSuspected(known)) {
            heartbeat.suspects.push_back({known.name, true});
        }
        if (known.saysLeaving || m_list.isLeaving(endpoint.text())) {
            heartbeat.leaving.push_back({known.name, known.incarnation});
        }
    }
}

} // namespace turmericplank::membership
