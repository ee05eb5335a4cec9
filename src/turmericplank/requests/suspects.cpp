#include "turmericplank/requests/suspects.hpp"

#include <algorithm>

namespace turmericplank::requests {

Suspects::Suspects(SuspectOptions options)
    : m_options(std::move(options))
{
}

Standing Suspects::standing(Fingerprint fingerprint, base::Time now) const
{
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end() || it->second.expiresAt <= now) {
        return Standing::Clear;
    }
    if (it->second.lost.size() >= m_options.lossLimit || isOrphaned(it->second)) {
        return Standing::Condemned;
    }
    return Standing::Suspect;
}

bool Suspects::isOrphaned(const Entry &entry) const
{
    if (entry.isOrphaned) {
        return true;
    }
    if (!entry.triedBy) {
        return false;
    }
    const auto present = peers();
    return std::find(present.begin(), present.end(), *entry.triedBy) == present.end();
}

base::Time Suspects::until(Fingerprint fingerprint, base::Time now) const
{
    const auto it = m_entries.find(fingerprint);
    return it == m_entries.end() ? now : it->second.expiresAt;
}

void Suspects::attemptBegan(Fingerprint fingerprint)
{
    ++m_running[fingerprint];
}

void Suspects::attemptEnded(Fingerprint fingerprint)
{
    const auto it = m_running.find(fingerprint);
    if (it != m_running.end() && --it->second == 0) {
        m_running.erase(it);
    }
}

SuspectActions Suspects::endpointLost(Fingerprint fingerprint, const EndpointLoss &loss, base::Time now)
{
    SuspectActions actions;
    eraseTrial(fingerprint);
    merge(fingerprint, {loss}, now);
    announce(fingerprint, now, actions);
    return actions;
}

void Suspects::announce(Fingerprint fingerprint, base::Time now, SuspectActions &actions)
{
    const auto present = peers();
    m_announcements[fingerprint] = Announcement{{present.begin(), present.end()}, now + m_options.askAgain};
    tellAll(fingerprint, false, 0, actions);
}

void Suspects::onTold(const base::DaemonId &from, Fingerprint fingerprint)
{
    const auto it = m_announcements.find(fingerprint);
    if (it == m_announcements.end()) {
        return;
    }
    it->second.waitingFor.erase(from);
    if (it->second.waitingFor.empty()) {
        m_announcements.erase(it);
    }
}

void Suspects::tellAgain(base::Time now, SuspectActions &actions)
{
    const auto present = peers();
    for (auto it = m_announcements.begin(); it != m_announcements.end();) {
        auto &[fingerprint, announcement] = *it;
        std::erase_if(announcement.waitingFor, [&present](const auto &peer) { return std::find(present.begin(), present.end(), peer) == present.end(); });
        if (announcement.waitingFor.empty() || !m_entries.contains(fingerprint)) {
            it = m_announcements.erase(it);
            continue;
        }
        if (now >= announcement.tellAgainAt) {
            announcement.tellAgainAt = now + m_options.askAgain;
            for (const auto &peer : announcement.waitingFor) {
                actions.emplace_back(NotifyPeer{peer, SuspectNotification{fingerprint, false, lostWith(fingerprint), 0}});
            }
        }
        ++it;
    }
}

SuspectActions Suspects::askTrial(Fingerprint fingerprint, const base::EndpointId &endpoint, base::Time now)
{
    const auto present = standing(fingerprint, now);
    if (present == Standing::Condemned || isTrying(fingerprint) || m_running.contains(fingerprint)) {
        return {TrialDenied{fingerprint, present}};
    }
    SuspectActions actions;
    auto &trial = m_trials[fingerprint];
    trial.endpoint = endpoint;
    trial.sequence = ++m_lastSequence;
    trial.askAgainAt = now + m_options.askAgain;
    for (const auto &it : peers()) {
        trial.waitingFor.insert(it);
        actions.emplace_back(AskPeer{it, TrialQuestion{fingerprint, trial.sequence, endpoint, lostWith(fingerprint)}});
    }
    const auto granted = grantIfAgreed(fingerprint, trial);
    actions.insert(actions.end(), granted.begin(), granted.end());
    return actions;
}

SuspectActions Suspects::grantIfAgreed(Fingerprint fingerprint, Trial &trial)
{
    if (trial.isRunning || !trial.waitingFor.empty()) {
        return {};
    }
    trial.isRunning = true;
    return {TrialGranted{fingerprint, trial.endpoint}};
}

SuspectActions Suspects::trialEnded(Fingerprint fingerprint, bool isCleared, base::Time now)
{
    SuspectActions actions;
    const auto ended = eraseTrial(fingerprint);
    if (isCleared && standing(fingerprint, now) == Standing::Suspect) {
        tellAll(fingerprint, true, ended, actions);
        forget(fingerprint);
    } else {
        tellAll(fingerprint, false, ended, actions);
    }
    return actions;
}

bool Suspects::isTrying(Fingerprint fingerprint) const
{
    return m_trials.contains(fingerprint);
}

std::vector<base::EndpointId> Suspects::avoid(Fingerprint fingerprint) const
{
    std::vector<base::EndpointId> endpoints;
    for (const auto &it : lostWith(fingerprint)) {
        endpoints.push_back(it.endpoint);
    }
    for (const auto &[other, trial] : m_trials) {
        endpoints.push_back(trial.endpoint);
    }
    return endpoints;
}

bool Suspects::blocks(const base::DaemonId &from, const TrialQuestion &question, SuspectActions &actions)
{
    if (m_running.contains(question.fingerprint)) {
        return true;
    }
    std::vector<Fingerprint> yielding;
    for (const auto &[fingerprint, trial] : m_trials) {
        if (fingerprint != question.fingerprint && trial.endpoint != question.endpoint) {
            continue;
        }
        // Of two that ask at once, the daemon with the lower name goes first.
        if (trial.isRunning || m_options.self < from) {
            return true;
        }
        yielding.push_back(fingerprint);
    }
    for (const auto it : yielding) {
        tellAll(it, false, eraseTrial(it), actions);
        actions.emplace_back(TrialDenied{it, Standing::Suspect});
    }
    return false;
}

TrialReply Suspects::onQuestion(const base::DaemonId &from, const TrialQuestion &question, base::Time now, SuspectActions &actions)
{
    const bool isCondemned = merge(question.fingerprint, question.lost, now) == Standing::Condemned;
    // A daemon that has not yet heard what the others remember can vouch for nothing.
    const bool mayRun = !isCondemned && isInformed() && !blocks(from, question, actions);
    if (mayRun) {
        auto &entry = remember(question.fingerprint, now);
        entry.triedBy = from;
        entry.triedSequence = question.sequence;
    }
    return TrialReply{question.fingerprint, question.sequence, mayRun, lostWith(question.fingerprint)};
}

SuspectActions Suspects::onReply(const base::DaemonId &from, const TrialReply &reply, base::Time now)
{
    const auto it = m_trials.find(reply.fingerprint);
    const bool isAwaited = it != m_trials.end() && it->second.sequence == reply.sequence && !it->second.isRunning;
    const auto present = reply.lost.empty() ? standing(reply.fingerprint, now) : merge(reply.fingerprint, reply.lost, now);
    if (!isAwaited) {
        return {};
    }
    if (present == Standing::Condemned || !reply.mayRun) {
        SuspectActions actions = {TrialDenied{reply.fingerprint, present}};
        // The daemons that agreed must not go on believing that the trial is under way.
        tellAll(reply.fingerprint, false, eraseTrial(reply.fingerprint), actions);
        return actions;
    }
    it->second.waitingFor.erase(from);
    return grantIfAgreed(reply.fingerprint, it->second);
}

void Suspects::onNotification(const base::DaemonId &from, const SuspectNotification &notification, base::Time now)
{
    if (!notification.isCleared && !notification.lost.empty()) {
        merge(notification.fingerprint, notification.lost, now);
    }
    const auto it = m_entries.find(notification.fingerprint);
    if (it == m_entries.end()) {
        return;
    }
    if (it->second.triedBy == from && it->second.triedSequence == notification.endedTrial) {
        it->second.triedBy.reset();
    }
    const auto &lost = it->second.lost;
    const auto isKnown = [&notification](const EndpointLoss &loss) {
        return std::find(notification.lost.begin(), notification.lost.end(), loss) != notification.lost.end();
    };
    const bool coversAll = std::all_of(lost.begin(), lost.end(), isKnown);
    if (notification.isCleared && coversAll && lost.size() < m_options.lossLimit && !isTrying(notification.fingerprint)) {
        forget(notification.fingerprint);
    }
}

std::vector<SuspectNotification> Suspects::onSuspectsAsked(const base::DaemonId &from)
{
    std::vector<SuspectNotification> suspects;
    for (auto &[fingerprint, entry] : m_entries) {
        entry.isOrphaned = entry.isOrphaned || entry.triedBy == from;
        suspects.push_back(SuspectNotification{fingerprint, false, lostWith(fingerprint), 0});
    }
    return suspects;
}

void Suspects::onSuspects(const base::DaemonId &from, const std::vector<SuspectNotification> &suspects, base::Time now)
{
    for (const auto &it : suspects) {
        merge(it.fingerprint, it.lost, now);
    }
    m_informedBy.insert(from);
}

bool Suspects::isInformed() const
{
    if (m_isInformed) {
        return true;
    }
    const auto present = peers();
    return std::all_of(present.begin(), present.end(), [this](const auto &it) { return m_informedBy.contains(it); });
}

void Suspects::askSuspects(base::Time now, SuspectActions &actions)
{
    m_isInformed = isInformed();
    if (m_isInformed || now < m_askSuspectsAt) {
        return;
    }
    m_askSuspectsAt = now + m_options.askAgain;
    for (const auto &it : peers()) {
        if (!m_informedBy.contains(it)) {
            actions.emplace_back(RequestSuspects{it});
        }
    }
}

SuspectActions Suspects::tick(base::Time now)
{
    SuspectActions actions;
    askSuspects(now, actions);
    const auto present = peers();
    for (auto &[fingerprint, trial] : m_trials) {
        std::erase_if(trial.waitingFor, [&present](const auto &it) { return std::find(present.begin(), present.end(), it) == present.end(); });
        const auto granted = grantIfAgreed(fingerprint, trial);
        actions.insert(actions.end(), granted.begin(), granted.end());
        if (trial.isRunning || now < trial.askAgainAt) {
            continue;
        }
        trial.askAgainAt = now + m_options.askAgain;
        for (const auto &it : trial.waitingFor) {
            actions.emplace_back(AskPeer{it, TrialQuestion{fingerprint, trial.sequence, trial.endpoint, lostWith(fingerprint)}});
        }
    }
    tellAgain(now, actions);
    while (!m_ages.empty() && m_entries.at(m_ages.front()).expiresAt <= now) {
        forget(m_ages.front());
    }
    return actions;
}

std::size_t Suspects::size() const
{
    return m_entries.size();
}

Suspects::Entry &Suspects::remember(Fingerprint fingerprint, base::Time now)
{
    const auto [it, isNew] = m_entries.try_emplace(fingerprint);
    if (!isNew) {
        m_ages.erase(it->second.age);
    }
    it->second.age = m_ages.insert(m_ages.end(), fingerprint);
    it->second.expiresAt = now + m_options.lifetime;
    if (m_entries.size() > m_options.limit) {
        forget(m_ages.front());
    }
    return it->second;
}

void Suspects::forget(Fingerprint fingerprint)
{
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end()) {
        return;
    }
    m_ages.erase(it->second.age);
    m_entries.erase(it);
}

Standing Suspects::merge(Fingerprint fingerprint, const std::vector<EndpointLoss> &lost, base::Time now)
{
    auto &entry = remember(fingerprint, now);
    for (const auto &it : lost) {
        if (entry.lost.size() < m_options.lossLimit) {
            entry.lost.insert(it);
        }
    }
    return standing(fingerprint, now);
}

std::vector<EndpointLoss> Suspects::lostWith(Fingerprint fingerprint) const
{
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end()) {
        return {};
    }
    return {it->second.lost.begin(), it->second.lost.end()};
}

std::uint64_t Suspects::eraseTrial(Fingerprint fingerprint)
{
    const auto it = m_trials.find(fingerprint);
    if (it == m_trials.end()) {
        return 0;
    }
    const auto sequence = it->second.sequence;
    m_trials.erase(it);
    return sequence;
}

void Suspects::tellAll(Fingerprint fingerprint, bool isCleared, std::uint64_t endedTrial, SuspectActions &actions) const
{
    for (const auto &it : peers()) {
        actions.emplace_back(NotifyPeer{it, SuspectNotification{fingerprint, isCleared, lostWith(fingerprint), endedTrial}});
    }
}

std::vector<base::DaemonId> Suspects::peers() const
{
    return m_options.peers ? m_options.peers() : std::vector<base::DaemonId>();
}

} // namespace turmericplank::requests
