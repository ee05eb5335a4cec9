#include "turmericplank/requests/suspects.hpp"

#include <algorithm>

namespace turmericplank::requests {

Suspects::Suspects(SuspectOptions options)
    : m_options(std::move(options))
{
}

SuspectState Suspects::state(Fingerprint fingerprint, base::Time now) const
{
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end() || it->second.expiresAt <= now) {
        return SuspectState::Clear;
    }
    if (it->second.losses.size() >= m_options.lossLimit || isOrphaned(it->second)) {
        return SuspectState::Blocked;
    }
    return SuspectState::Suspect;
}

bool Suspects::isOrphaned(const Entry &entry) const
{
    if (entry.isOrphaned) {
        return true;
    }
    if (!entry.trialOwner) {
        return false;
    }
    const auto currentPeers = peers();
    return std::find(currentPeers.begin(), currentPeers.end(), *entry.trialOwner) == currentPeers.end();
}

base::Time Suspects::expiresAt(Fingerprint fingerprint, base::Time now) const
{
    const auto it = m_entries.find(fingerprint);
    return it == m_entries.end() ? now : it->second.expiresAt;
}

void Suspects::attemptStarted(Fingerprint fingerprint)
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
    const auto currentPeers = peers();
    m_announcements[fingerprint] = Announcement{{currentPeers.begin(), currentPeers.end()}, now + m_options.resendInterval};
    notifyPeers(fingerprint, false, 0, actions);
}

void Suspects::onAcknowledged(const base::DaemonId &from, Fingerprint fingerprint)
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

void Suspects::resendNotifications(base::Time now, SuspectActions &actions)
{
    const auto currentPeers = peers();
    for (auto it = m_announcements.begin(); it != m_announcements.end();) {
        auto &[fingerprint, announcement] = *it;
        std::erase_if(announcement.waitingFor,
                      [&currentPeers](const auto &peer) { return std::find(currentPeers.begin(), currentPeers.end(), peer) == currentPeers.end(); });
        if (announcement.waitingFor.empty() || !m_entries.contains(fingerprint)) {
            it = m_announcements.erase(it);
            continue;
        }
        if (now >= announcement.resendAt) {
            announcement.resendAt = now + m_options.resendInterval;
            for (const auto &peer : announcement.waitingFor) {
                actions.emplace_back(NotifyPeer{peer, SuspectNotification{fingerprint, false, lossesOf(fingerprint), 0}});
            }
        }
        ++it;
    }
}

SuspectActions Suspects::requestTrial(Fingerprint fingerprint, const base::EndpointId &endpoint, base::Time now)
{
    const auto current = state(fingerprint, now);
    if (current == SuspectState::Blocked || hasTrial(fingerprint) || m_running.contains(fingerprint)) {
        return {TrialDenied{fingerprint, current}};
    }
    SuspectActions actions;
    auto &trial = m_trials[fingerprint];
    trial.endpoint = endpoint;
    trial.sequence = ++m_lastSequence;
    trial.resendAt = now + m_options.resendInterval;
    for (const auto &it : peers()) {
        trial.waitingFor.insert(it);
        actions.emplace_back(AskPeer{it, TrialQuestion{fingerprint, trial.sequence, endpoint, lossesOf(fingerprint)}});
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
    if (isCleared && state(fingerprint, now) == SuspectState::Suspect) {
        notifyPeers(fingerprint, true, ended, actions);
        eraseEntry(fingerprint);
    } else {
        notifyPeers(fingerprint, false, ended, actions);
    }
    return actions;
}

bool Suspects::hasTrial(Fingerprint fingerprint) const
{
    return m_trials.contains(fingerprint);
}

std::vector<base::EndpointId> Suspects::endpointsToAvoid(Fingerprint fingerprint) const
{
    std::vector<base::EndpointId> endpoints;
    for (const auto &it : lossesOf(fingerprint)) {
        endpoints.push_back(it.endpoint);
    }
    for (const auto &[other, trial] : m_trials) {
        endpoints.push_back(trial.endpoint);
    }
    return endpoints;
}

bool Suspects::refusesTrial(const base::DaemonId &from, const TrialQuestion &question, SuspectActions &actions)
{
    if (m_running.contains(question.fingerprint)) {
        return true;
    }
    std::vector<Fingerprint> yielded;
    for (const auto &[fingerprint, trial] : m_trials) {
        if (fingerprint != question.fingerprint && trial.endpoint != question.endpoint) {
            continue;
        }
        // If two daemons ask at the same time, the one with the lower id goes first.
        if (trial.isRunning || m_options.self < from) {
            return true;
        }
        yielded.push_back(fingerprint);
    }
    for (const auto it : yielded) {
        notifyPeers(it, false, eraseTrial(it), actions);
        actions.emplace_back(TrialDenied{it, SuspectState::Suspect});
    }
    return false;
}

TrialReply Suspects::onQuestion(const base::DaemonId &from, const TrialQuestion &question, base::Time now, SuspectActions &actions)
{
    const bool isBlocked = merge(question.fingerprint, question.losses, now) == SuspectState::Blocked;
    // A daemon that has not yet received the suspects of all others cannot agree to a trial.
    const bool mayRun = !isBlocked && isSynchronized() && !refusesTrial(from, question, actions);
    if (mayRun) {
        auto &entry = findOrAddEntry(question.fingerprint, now);
        entry.trialOwner = from;
        entry.trialSequence = question.sequence;
    }
    return TrialReply{question.fingerprint, question.sequence, mayRun, lossesOf(question.fingerprint)};
}

SuspectActions Suspects::onReply(const base::DaemonId &from, const TrialReply &reply, base::Time now)
{
    const auto it = m_trials.find(reply.fingerprint);
    const bool isAwaited = it != m_trials.end() && it->second.sequence == reply.sequence && !it->second.isRunning;
    const auto current = reply.losses.empty() ? state(reply.fingerprint, now) : merge(reply.fingerprint, reply.losses, now);
    if (!isAwaited) {
        return {};
    }
    if (current == SuspectState::Blocked || !reply.mayRun) {
        SuspectActions actions = {TrialDenied{reply.fingerprint, current}};
        // Daemons that agreed must learn that the trial does not take place.
        notifyPeers(reply.fingerprint, false, eraseTrial(reply.fingerprint), actions);
        return actions;
    }
    it->second.waitingFor.erase(from);
    return grantIfAgreed(reply.fingerprint, it->second);
}

void Suspects::onNotification(const base::DaemonId &from, const SuspectNotification &notification, base::Time now)
{
    if (!notification.isCleared && !notification.losses.empty()) {
        merge(notification.fingerprint, notification.losses, now);
    }
    const auto it = m_entries.find(notification.fingerprint);
    if (it == m_entries.end()) {
        return;
    }
    if (it->second.trialOwner == from && it->second.trialSequence == notification.endedTrial) {
        it->second.trialOwner.reset();
    }
    const auto &losses = it->second.losses;
    const auto isKnown = [&notification](const EndpointLoss &loss) {
        return std::find(notification.losses.begin(), notification.losses.end(), loss) != notification.losses.end();
    };
    const bool coversAll = std::all_of(losses.begin(), losses.end(), isKnown);
    if (notification.isCleared && coversAll && losses.size() < m_options.lossLimit && !hasTrial(notification.fingerprint)) {
        eraseEntry(notification.fingerprint);
    }
}

std::vector<SuspectNotification> Suspects::onSuspectsRequested(const base::DaemonId &from)
{
    std::vector<SuspectNotification> suspects;
    for (auto &[fingerprint, entry] : m_entries) {
        entry.isOrphaned = entry.isOrphaned || entry.trialOwner == from;
        suspects.push_back(SuspectNotification{fingerprint, false, lossesOf(fingerprint), 0});
    }
    return suspects;
}

void Suspects::onSuspectsReceived(const base::DaemonId &from, const std::vector<SuspectNotification> &suspects, base::Time now)
{
    for (const auto &it : suspects) {
        merge(it.fingerprint, it.losses, now);
    }
    m_synchronizedPeers.insert(from);
}

bool Suspects::isSynchronized() const
{
    if (m_isSynchronized) {
        return true;
    }
    const auto currentPeers = peers();
    return std::all_of(currentPeers.begin(), currentPeers.end(), [this](const auto &it) { return m_synchronizedPeers.contains(it); });
}

void Suspects::requestSuspects(base::Time now, SuspectActions &actions)
{
    m_isSynchronized = isSynchronized();
    if (m_isSynchronized || now < m_requestSuspectsAt) {
        return;
    }
    m_requestSuspectsAt = now + m_options.resendInterval;
    for (const auto &it : peers()) {
        if (!m_synchronizedPeers.contains(it)) {
            actions.emplace_back(RequestSuspects{it});
        }
    }
}

SuspectActions Suspects::tick(base::Time now)
{
    SuspectActions actions;
    requestSuspects(now, actions);
    const auto currentPeers = peers();
    for (auto &[fingerprint, trial] : m_trials) {
        std::erase_if(trial.waitingFor,
                      [&currentPeers](const auto &it) { return std::find(currentPeers.begin(), currentPeers.end(), it) == currentPeers.end(); });
        const auto granted = grantIfAgreed(fingerprint, trial);
        actions.insert(actions.end(), granted.begin(), granted.end());
        if (trial.isRunning || now < trial.resendAt) {
            continue;
        }
        trial.resendAt = now + m_options.resendInterval;
        for (const auto &it : trial.waitingFor) {
            actions.emplace_back(AskPeer{it, TrialQuestion{fingerprint, trial.sequence, trial.endpoint, lossesOf(fingerprint)}});
        }
    }
    resendNotifications(now, actions);
    while (!m_byAge.empty() && m_entries.at(m_byAge.front()).expiresAt <= now) {
        eraseEntry(m_byAge.front());
    }
    return actions;
}

std::size_t Suspects::size() const
{
    return m_entries.size();
}

Suspects::Entry &Suspects::findOrAddEntry(Fingerprint fingerprint, base::Time now)
{
    const auto [it, isNew] = m_entries.try_emplace(fingerprint);
    if (!isNew) {
        m_byAge.erase(it->second.agePosition);
    }
    it->second.agePosition = m_byAge.insert(m_byAge.end(), fingerprint);
    it->second.expiresAt = now + m_options.lifetime;
    if (m_entries.size() > m_options.maxEntries) {
        eraseEntry(m_byAge.front());
    }
    return it->second;
}

void Suspects::eraseEntry(Fingerprint fingerprint)
{
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end()) {
        return;
    }
    m_byAge.erase(it->second.agePosition);
    m_entries.erase(it);
}

SuspectState Suspects::merge(Fingerprint fingerprint, const std::vector<EndpointLoss> &losses, base::Time now)
{
    auto &entry = findOrAddEntry(fingerprint, now);
    for (const auto &it : losses) {
        if (entry.losses.size() < m_options.lossLimit) {
            entry.losses.insert(it);
        }
    }
    return state(fingerprint, now);
}

std::vector<EndpointLoss> Suspects::lossesOf(Fingerprint fingerprint) const
{
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end()) {
        return {};
    }
    return {it->second.losses.begin(), it->second.losses.end()};
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

void Suspects::notifyPeers(Fingerprint fingerprint, bool isCleared, std::uint64_t endedTrial, SuspectActions &actions) const
{
    for (const auto &it : peers()) {
        actions.emplace_back(NotifyPeer{it, SuspectNotification{fingerprint, isCleared, lossesOf(fingerprint), endedTrial}});
    }
}

std::vector<base::DaemonId> Suspects::peers() const
{
    return m_options.peers ? m_options.peers() : std::vector<base::DaemonId>();
}

} // namespace turmericplank::requests
