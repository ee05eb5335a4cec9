#include "turmericplank/requests/crashhistory.hpp"

#include <algorithm>

namespace turmericplank::requests {

void CrashHistory::ProvenContents::add(Fingerprint content, base::Time now, const CrashHistoryOptions &options)
{
    if (now >= m_periodEnd || m_current.size() >= options.maxProven / 2) {
        m_previous = now < m_validUntil ? std::move(m_current) : std::unordered_set<Fingerprint>();
        m_current.clear();
        m_periodEnd = now + options.lifetime / 2;
    }
    m_validUntil = m_periodEnd + options.lifetime / 2;
    m_current.insert(content);
}

bool CrashHistory::ProvenContents::contains(Fingerprint content, base::Time now) const
{
    return (now < m_validUntil && m_current.contains(content)) || (now < m_periodEnd && m_previous.contains(content));
}

CrashHistory::CrashHistory(CrashHistoryOptions options)
    : m_options(options)
{
}

void CrashHistory::recordLoss(Fingerprint content, const EndpointLoss &loss, base::Time now)
{
    mergeInto({content, {loss}, {}, false, 0}, now);
}

void CrashHistory::recordAnswer(Fingerprint content, base::Time now)
{
    if (lossCount(content, now) > 0) {
        mergeInto({content, {}, find(content).counted, false, 0}, now);
    }
}

void CrashHistory::recordSharedAnswer(Fingerprint content, base::Time now)
{
    m_proven.add(content, now, m_options);
    if (m_entries.contains(content)) {
        mergeInto({content, {}, find(content).counted, true, 0}, now);
    }
}

/// A call that was sent after the loss was known cannot have been answered before it. Neither can bytes that arrive long after.
std::size_t CrashHistory::recordSignOfLife(const SignOfLife &sign, base::Time now)
{
    const auto lost = m_lostEndpoints.find(sign.endpoint);
    if (lost == m_lostEndpoints.end() || sign.connectedAt >= lost->second) {
        return 0; // a later connection may lead to the endpoint's next incarnation
    }
    if (sign.sentAt <= lost->second && now < lost->second + m_options.inFlightTime) {
        return 0;
    }
    m_lostEndpoints.erase(lost);
    std::vector<Fingerprint> contents;
    for (const auto &[content, entry] : m_entries) {
        if (const auto it = entry.losses.find(sign.endpoint); it != entry.losses.end() && it->second) {
            contents.push_back(content);
        }
    }
    for (const auto it : contents) {
        mergeInto({it, {}, {sign.endpoint}, false, 0}, now);
    }
    return contents.size();
}

void CrashHistory::merge(const std::vector<ContentLosses> &contents, base::Time now)
{
    for (const auto &it : contents) {
        mergeInto(it, now);
    }
}

bool CrashHistory::isRefused(Fingerprint content, base::Time now) const
{
    const auto losses = lossCount(content, now);
    if (losses < m_options.lossLimit) {
        return false;
    }
    const auto &entry = m_entries.at(content);
    return !entry.isProven || (losses >= m_options.provenLossLimit && entry.lastLossAt >= entry.firstLossAt + m_options.provenLossTime);
}

bool CrashHistory::beginTrial(const std::vector<Fingerprint> &contents, TrialKind kind, base::Time now)
{
    const bool isDue = !contents.empty() && std::ranges::all_of(contents, [&](Fingerprint it) { return isTrialDue(it, kind, now); });
    if (!isDue) {
        return false;
    }
    for (const auto it : contents) {
        auto message = find(it);
        ++message.trials;
        mergeInto(message, now);
    }
    return true;
}

bool CrashHistory::isTrialDue(Fingerprint content, TrialKind kind, base::Time now) const
{
    const auto delay = kind == TrialKind::Combined ? m_options.combinedTrialDelay : base::Duration(0);
    return isRefused(content, now) && now >= m_entries.at(content).nextTrialAt + delay;
}

std::size_t CrashHistory::lossCount(Fingerprint content, base::Time now) const
{
    const auto it = m_entries.find(content);
    return it == m_entries.end() || it->second.expiresAt <= now ? 0 : countedLosses(it->second);
}

bool CrashHistory::hasChanged() const
{
    return !m_changed.empty();
}

std::vector<ContentLosses> CrashHistory::takeChanged()
{
    std::vector<ContentLosses> changed;
    for (const auto content : std::exchange(m_changed, {})) {
        if (const auto it = m_entries.find(content); it != m_entries.end()) {
            changed.push_back(toMessage(content, it->second));
        }
    }
    return changed;
}

std::vector<ContentLosses> CrashHistory::recentlyChanged(base::Time now) const
{
    std::vector<ContentLosses> recent;
    for (const auto &[content, entry] : m_entries) {
        if (now < entry.repeatUntil) {
            recent.push_back(toMessage(content, entry));
        }
    }
    return recent;
}

std::vector<ContentLosses> CrashHistory::all() const
{
    std::vector<ContentLosses> contents;
    for (const auto &[content, entry] : m_entries) {
        contents.push_back(toMessage(content, entry));
    }
    return contents;
}

ContentLosses CrashHistory::find(Fingerprint content) const
{
    const auto it = m_entries.find(content);
    return it == m_entries.end() ? ContentLosses{content, {}, {}, false, 0} : toMessage(content, it->second);
}

void CrashHistory::expire(base::Time now)
{
    const auto remove = [this](auto it) {
        m_entries.erase(it->second);
        m_byExpiry.erase(it);
    };
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        remove(m_byExpiry.begin());
    }
    while (m_entries.size() > m_options.maxContents) {
        remove(findLeastNeeded(now));
    }
    std::erase_if(m_lostEndpoints, [&](const auto &it) { return it.second + m_options.lifetime <= now; });
}

/// @return the oldest entry that is not refused, or the oldest one if there are too many refused ones before it
CrashHistory::ExpiryIndex::const_iterator CrashHistory::findLeastNeeded(base::Time now) const
{
    auto it = m_byExpiry.begin();
    for (std::size_t n = 0; n <= m_options.maxKeptRefused && it != m_byExpiry.end(); ++n, ++it) {
        if (!isRefused(it->second, now)) {
            return it;
        }
    }
    return m_byExpiry.begin();
}

std::size_t CrashHistory::countedLosses(const Entry &entry)
{
    return static_cast<std::size_t>(std::ranges::count_if(entry.losses, [](const auto &loss) { return loss.second; }));
}

base::Duration CrashHistory::trialDelay(const Entry &entry) const
{
    auto delay = m_options.trialDelay;
    for (std::uint32_t n = 0; n < entry.trials && delay < m_options.lifetime; ++n) {
        delay *= m_options.trialDelayFactor;
    }
    return delay;
}

/// Finds or adds an entry and renews its times.
CrashHistory::Entry &CrashHistory::touch(Fingerprint content, base::Time now)
{
    auto &entry = m_entries[content];
    m_byExpiry.erase({entry.expiresAt, content});
    entry.repeatUntil = now + m_options.repeatTime;
    entry.expiresAt = now + m_options.lifetime;
    m_byExpiry.emplace(entry.expiresAt, content);
    return entry;
}

/// A loss that one daemon has cleared stays cleared, in whatever order the messages come.
void CrashHistory::mergeInto(const ContentLosses &content, base::Time now)
{
    expire(now);
    const auto known = m_entries.find(content.content);
    auto losses = known == m_entries.end() ? std::map<EndpointLoss, bool>() : known->second.losses;
    const auto before = losses;
    for (const auto &it : content.cleared) {
        losses[it] = false;
    }
    for (const auto &it : content.counted) {
        losses.try_emplace(it, true);
    }
    limitLosses(losses, before);
    const bool wasProven = known != m_entries.end() && known->second.isProven;
    const bool isProven = wasProven || content.isProven || m_proven.contains(content.content, now);
    const auto trialsBefore = known == m_entries.end() ? 0 : known->second.trials;
    if (losses == before && isProven == wasProven && content.trials <= trialsBefore) {
        return;
    }
    auto &entry = touch(content.content, now);
    const auto countedBefore = countedLosses(entry);
    entry.losses = std::move(losses);
    entry.isProven = isProven;
    entry.trials = std::max(content.trials, trialsBefore);
    entry.firstLossAt = countedBefore == 0 ? now : entry.firstLossAt;
    entry.lastLossAt = countedLosses(entry) > countedBefore ? now : entry.lastLossAt;
    const bool hasFewerLosses = countedLosses(entry) < countedBefore && entry.trials == trialsBefore;
    entry.nextTrialAt = hasFewerLosses ? entry.nextTrialAt : now + trialDelay(entry);
    noteNewLosses(entry.losses, before, now);
    m_changed.insert(content.content);
    expire(now);
}

/// An endpoint without an incarnation cannot be told from the one that has taken its place.
void CrashHistory::noteNewLosses(const std::map<EndpointLoss, bool> &losses, const std::map<EndpointLoss, bool> &known, base::Time now)
{
    for (const auto &[loss, isCounted] : losses) {
        if (isCounted && loss.incarnation != base::Incarnation() && !known.contains(loss)) {
            m_lostEndpoints[loss] = now;
        }
    }
}

/// Losses that count matter more than cleared ones, and known ones more than new ones: these would otherwise change places for ever
/// between two daemons.
void CrashHistory::limitLosses(std::map<EndpointLoss, bool> &losses, const std::map<EndpointLoss, bool> &known) const
{
    const auto removeWhere = [&](auto mayGo) {
        for (auto it = losses.begin(); it != losses.end() && losses.size() > m_options.maxLosses;) {
            it = mayGo(*it) ? losses.erase(it) : std::next(it);
        }
    };
    removeWhere([&](const auto &it) { return !it.second && !known.contains(it.first); });
    removeWhere([](const auto &it) { return !it.second; });
    removeWhere([&](const auto &it) { return !known.contains(it.first); });
}

ContentLosses CrashHistory::toMessage(Fingerprint content, const Entry &entry) const
{
    ContentLosses message{content, {}, {}, entry.isProven, entry.trials};
    for (const auto &[loss, isCounted] : entry.losses) {
        (isCounted ? message.counted : message.cleared).push_back(loss);
    }
    return message;
}

} // namespace turmericplank::requests
