#include "turmericplank/forwarding/streamorigins.hpp"

#include <algorithm>

#include <xxhash.h>

namespace turmericplank::forwarding {

CallDigest callDigest(std::string_view callId)
{
    return XXH3_64bits(callId.data(), callId.size());
}

bool StreamOrigins::Store::add(Entry entry, std::size_t maxOrigins)
{
    const auto call = entry.origin.call;
    const auto neededUntil = entry.origin.neededUntil;
    const auto [it, isNew] = m_entries.try_emplace(call, std::move(entry));
    auto &known = it->second.origin.neededUntil;
    if (!isNew && neededUntil <= known) {
        return false;
    }
    m_byNeededUntil.erase({known, call});
    m_byNeededUntil.emplace(neededUntil, call);
    known = neededUntil;
    while (m_entries.size() > maxOrigins) {
        removeEarliest();
    }
    return true;
}

void StreamOrigins::Store::expire(base::Time now)
{
    while (!m_byNeededUntil.empty() && m_byNeededUntil.begin()->first <= now) {
        removeEarliest();
    }
}

const StreamOrigins::Store::Entry *StreamOrigins::Store::find(CallDigest call) const
{
    const auto it = m_entries.find(call);
    return it == m_entries.end() ? nullptr : &it->second;
}

const std::unordered_map<CallDigest, StreamOrigins::Store::Entry> &StreamOrigins::Store::entries() const
{
    return m_entries;
}

void StreamOrigins::Store::removeEarliest()
{
    m_entries.erase(m_byNeededUntil.begin()->second);
    m_byNeededUntil.erase(m_byNeededUntil.begin());
}

StreamOrigins::StreamOrigins(StreamOriginsOptions options)
    : m_options(options)
{
}

void StreamOrigins::record(const base::ServiceName &service, StreamOrigin origin, base::Time now)
{
    const auto call = origin.call;
    m_own.expire(now);
    if (m_own.add({service, std::move(origin)}, m_options.maxOrigins) && isMixed(service, now)) {
        m_unsent.insert(call);
    }
}

void StreamOrigins::recordFromPeer(const std::vector<StreamOrigin> &origins, base::Time now)
{
    m_fromPeers.expire(now);
    for (const auto &it : origins) {
        if (it.neededUntil > now) {
            m_fromPeers.add({base::ServiceName(), it}, m_options.maxOrigins);
        }
    }
}

void StreamOrigins::noteVersions(const ServiceVersions &versions, base::Time now)
{
    for (const auto &[service, listed] : versions) {
        m_knownSince.try_emplace(service, now);
        // All endpoints may have been replaced between two reads.
        auto recent = std::exchange(m_listed[service], listed);
        recent.insert(listed.begin(), listed.end());
        for (const auto &it : recent) {
            m_lastListed[service][it] = now;
        }
        if (recent.size() > 1) {
            m_seenMixedUntil[service] = now + m_options.mixedMemory;
            extendMixed(service, m_seenMixedUntil[service], now);
        }
    }
    compareWithHistory(now);
}

void StreamOrigins::noteHistory(const ServiceVersions &versions, base::Time now)
{
    if (m_historyNotedAt && now >= *m_historyNotedAt + m_options.mixedMemory) {
        m_history.clear();
    }
    m_historyNotedAt = now;
    for (const auto &[service, earlier] : versions) {
        m_history[service].insert(earlier.begin(), earlier.end());
    }
    compareWithHistory(now);
}

/// What others report does not count as seen by this daemon, see mixedServices().
void StreamOrigins::compareWithHistory(base::Time now)
{
    if (!m_historyNotedAt) {
        return;
    }
    for (const auto &[service, earlier] : m_history) {
        auto versions = earlier;
        if (const auto listed = m_listed.find(service); listed != m_listed.end()) {
            versions.insert(listed->second.begin(), listed->second.end());
        }
        if (versions.size() > 1) {
            extendMixed(service, *m_historyNotedAt + m_options.mixedMemory, now);
        }
    }
}

bool StreamOrigins::isHistoryKnown(const base::ServiceName &service, base::Time now) const
{
    const auto since = versionsKnownSince(service);
    return m_historyNotedAt || (since && now >= *since + m_options.mixedMemory);
}

ServiceVersions StreamOrigins::recentVersions(base::Time now) const
{
    ServiceVersions recent;
    for (const auto &[service, versions] : m_lastListed) {
        for (const auto &[version, until] : versions) {
            if (now < until + m_options.mixedMemory) {
                recent[service].insert(version);
            }
        }
    }
    return recent;
}

void StreamOrigins::noteMixed(const std::vector<MixedService> &services, base::Time now)
{
    for (const auto &it : services) {
        extendMixed(it.service, it.mixedUntil, now);
    }
}

void StreamOrigins::extendMixed(const base::ServiceName &service, base::Time mixedUntil, base::Time now)
{
    if (mixedUntil <= now) {
        return;
    }
    const bool wasMixed = isMixed(service, now);
    auto &until = m_mixedUntil[service];
    until = std::max(until, mixedUntil);
    if (wasMixed) {
        return;
    }
    // Origins that were sent while the service was mixed before are sent again, since daemons may have appeared in between.
    for (const auto &[call, entry] : m_own.entries()) {
        if (entry.service == service) {
            m_unsent.insert(call);
        }
    }
}

const std::string *StreamOrigins::find(CallDigest call) const
{
    const auto *own = m_own.find(call);
    const auto *it = own != nullptr ? own : m_fromPeers.find(call);
    return it != nullptr ? &it->origin.softwareVersion : nullptr;
}

bool StreamOrigins::isMixed(const base::ServiceName &service, base::Time now) const
{
    const auto it = m_mixedUntil.find(service);
    return it != m_mixedUntil.end() && it->second > now;
}

std::optional<base::Time> StreamOrigins::versionsKnownSince(const base::ServiceName &service) const
{
    const auto it = m_knownSince.find(service);
    return it == m_knownSince.end() ? std::nullopt : std::optional(it->second);
}

std::vector<MixedService> StreamOrigins::mixedServices(base::Time now) const
{
    std::vector<MixedService> services;
    for (const auto &[service, until] : m_seenMixedUntil) {
        if (until > now) {
            services.push_back({service, until});
        }
    }
    return services;
}

std::vector<StreamOrigin> StreamOrigins::takeUnsent(base::Time now)
{
    std::vector<StreamOrigin> origins;
    // Those of services that are no longer mixed may go: they are listed again when the service becomes mixed.
    for (const auto call : std::exchange(m_unsent, {})) {
        const auto *it = m_own.find(call);
        if (it != nullptr && it->origin.neededUntil > now && isMixed(it->service, now)) {
            origins.push_back(it->origin);
        }
    }
    return origins;
}

std::vector<StreamOrigin> StreamOrigins::ownOfMixedServices(base::Time now) const
{
    std::vector<StreamOrigin> origins;
    for (const auto &[call, it] : m_own.entries()) {
        if (it.origin.neededUntil > now && isMixed(it.service, now)) {
            origins.push_back(it.origin);
        }
    }
    return origins;
}

void StreamOrigins::expire(base::Time now)
{
    m_own.expire(now);
    m_fromPeers.expire(now);
    std::erase_if(m_mixedUntil, [now](const auto &it) { return it.second <= now; });
    for (auto &[service, versions] : m_lastListed) {
        std::erase_if(versions, [&](const auto &it) { return it.second + m_options.mixedMemory <= now; });
    }
    std::erase_if(m_seenMixedUntil, [now](const auto &it) { return it.second <= now; });
}

std::size_t StreamOrigins::size() const
{
    return m_own.entries().size() + m_fromPeers.entries().size();
}

} // namespace turmericplank::forwarding
