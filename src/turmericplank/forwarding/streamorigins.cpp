#include "turmericplank/forwarding/streamorigins.hpp"

#include <algorithm>
#include <functional>
#include <vector>

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
    if (m_own.add({service, std::move(origin)}, m_options.maxOrigins)) {
        (isMixed(service, now) ? m_unsent : m_uncopied).insert(call);
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

void StreamOrigins::noteVersions(const ListedVersions &versions, base::Time now)
{
    for (const auto &[service, listed] : versions) {
        m_knownSince.try_emplace(service, now);
        // All endpoints may have been replaced between two reads.
        auto recent = std::exchange(m_listed[service], listed);
        for (const auto &it : recent) {
            addToHistory(service, it, now + m_options.mixedMemory);
        }
        recent.insert(listed.begin(), listed.end());
        if (recent.size() > 1) {
            m_seenMixedUntil[service] = now + m_options.mixedMemory;
            extendMixed(service, m_seenMixedUntil[service], now);
        }
        compareWithHistory(service, now);
    }
}

void StreamOrigins::noteHistory(const VersionHistory &versions, base::Time now)
{
    m_isHistoryKnown = true;
    for (const auto &[service, earlier] : versions) {
        for (const auto &[version, until] : earlier) {
            addToHistory(service, version, std::min(until, now + m_options.mixedMemory));
        }
        compareWithHistory(service, now);
    }
}

void StreamOrigins::addToHistory(const base::ServiceName &service, const std::string &version, base::Time until)
{
    auto &known = m_history[service][version];
    known = std::max(known, until);
}

/// A service is mixed for as long as two of its versions matter. What others report does not count as seen by this daemon, see
/// mixedServices().
void StreamOrigins::compareWithHistory(const base::ServiceName &service, base::Time now)
{
    const auto all = history(now);
    const auto it = all.find(service);
    if (it == all.end() || it->second.size() < 2) {
        return;
    }
    std::vector<base::Time> times;
    for (const auto &[version, until] : it->second) {
        times.push_back(until);
    }
    std::ranges::sort(times, std::greater());
    extendMixed(service, times[1], now);
}

bool StreamOrigins::isHistoryKnown(const base::ServiceName &service, base::Time now) const
{
    const auto since = versionsKnownSince(service);
    return m_isHistoryKnown || (since && now >= *since + m_options.mixedMemory);
}

VersionHistory StreamOrigins::history(base::Time now) const
{
    VersionHistory all;
    for (const auto &[service, versions] : m_history) {
        for (const auto &[version, until] : versions) {
            if (until > now) {
                all[service][version] = until;
            }
        }
    }
    for (const auto &[service, listed] : m_listed) {
        for (const auto &it : listed) {
            all[service][it] = now + m_options.mixedMemory;
        }
    }
    return all;
}

std::optional<std::string> StreamOrigins::onlyVersion(const base::ServiceName &service, base::Time now) const
{
    const auto listed = m_listed.find(service);
    const bool isOnly = isHistoryKnown(service, now) && !isMixed(service, now) && listed != m_listed.end() && listed->second.size() == 1;
    return isOnly ? std::optional(*listed->second.begin()) : std::nullopt;
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
    auto &until = m_mixedUntil[service];
    const bool wasMixed = until > now;
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
    const auto listed = m_listed.find(service);
    const auto it = m_mixedUntil.find(service);
    return (listed != m_listed.end() && listed->second.size() > 1) || (it != m_mixedUntil.end() && it->second > now);
}

std::optional<base::Time> StreamOrigins::versionsKnownSince(const base::ServiceName &service) const
{
    const auto it = m_knownSince.find(service);
    return it == m_knownSince.end() ? std::nullopt : std::optional(it->second);
}

std::vector<MixedService> StreamOrigins::mixedServices(base::Time now) const
{
    auto seen = m_seenMixedUntil;
    for (const auto &[service, listed] : m_listed) {
        if (listed.size() > 1) {
            seen[service] = now + m_options.mixedMemory;
        }
    }
    std::vector<MixedService> services;
    for (const auto &[service, until] : seen) {
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

std::vector<StreamOrigin> StreamOrigins::takeUncopied(base::Time now)
{
    std::vector<StreamOrigin> origins;
    // Those of services that have become mixed may go: they are unsent since then.
    for (const auto call : std::exchange(m_uncopied, {})) {
        const auto *it = m_own.find(call);
        if (it != nullptr && it->origin.neededUntil > now && !isMixed(it->service, now)) {
            origins.push_back(it->origin);
        }
    }
    return origins;
}

bool StreamOrigins::hasOwn() const
{
    return !m_own.entries().empty();
}

std::vector<StreamOrigin> StreamOrigins::ownOrigins(base::Time now) const
{
    std::vector<StreamOrigin> origins;
    for (const auto &[call, it] : m_own.entries()) {
        if (it.origin.neededUntil > now) {
            origins.push_back(it.origin);
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
    for (auto &[service, versions] : m_history) {
        std::erase_if(versions, [now](const auto &it) { return it.second <= now; });
    }
    std::erase_if(m_seenMixedUntil, [now](const auto &it) { return it.second <= now; });
}

std::size_t StreamOrigins::size() const
{
    return m_own.entries().size() + m_fromPeers.entries().size();
}

} // namespace turmericplank::forwarding
