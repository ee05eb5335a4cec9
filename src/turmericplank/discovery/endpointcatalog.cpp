#include "turmericplank/discovery/endpointcatalog.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace turmericplank::discovery {

namespace {

std::optional<EndpointEvent> eventBetween(const EndpointEntry &before, const EndpointEntry &after)
{
    if (after.incarnation != before.incarnation) {
        return EndpointEvent::Restarted;
    }
    if (after.address != before.address) {
        return EndpointEvent::Moved;
    }
    if (after.isLeaving != before.isLeaving) {
        return after.isLeaving ? EndpointEvent::Leaving : EndpointEvent::Returned;
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(EndpointEvent event)
{
    switch (event) {
    case EndpointEvent::Appeared:
        return "appeared";
    case EndpointEvent::Restarted:
        return "restarted";
    case EndpointEvent::Moved:
        return "moved";
    case EndpointEvent::Leaving:
        return "leaving";
    case EndpointEvent::Returned:
        return "returned";
    case EndpointEvent::Gone:
        return "gone";
    }
    return "gone";
}

EndpointCatalog::EndpointCatalog(CatalogOptions options)
    : m_options(options)
{
}

std::vector<EndpointChange> EndpointCatalog::apply(const std::vector<EndpointEntry> &entries, base::Time now)
{
    if (mayEntriesHaveExpired(now)) {
        m_keepsMissingUntil = now + m_options.rewriteTime;
    }
    m_lastRead = now;
    m_hasReadFailed = false;
    std::erase_if(m_departures, [now](const auto &it) { return it.second.rememberedUntil <= now; });
    std::vector<EndpointChange> changes;
    std::map<base::EndpointId, EndpointEntry> next;
    for (const auto &it : entries) {
        const auto known = m_entries.find(it.id);
        const bool isOlderHeartbeat = known != m_entries.end() && it.incarnation == known->second.incarnation && it.heartbeat < known->second.heartbeat;
        if (isOlderHeartbeat) {
            next.insert(*known);
            continue;
        }
        if (known == m_entries.end() && now < m_copyIsOldUntil && isFromBeforeDeparture(it)) {
            continue;
        }
        if (known == m_entries.end()) {
            changes.push_back({EndpointEvent::Appeared, it});
        } else if (it.incarnation < known->second.incarnation) {
            // Outdated read: a newer incarnation of the endpoint is already known.
            next.insert(*known);
            continue;
        } else if (const auto event = eventBetween(known->second, it)) {
            changes.push_back({*event, it});
        }
        next.insert_or_assign(it.id, it);
    }
    for (const auto &[id, entry] : m_entries) {
        if (next.contains(id)) {
            continue;
        }
        if (now < m_keepsMissingUntil && !entry.isLeaving) {
            next.emplace(id, entry);
        } else {
            changes.push_back({EndpointEvent::Gone, entry});
            rememberDeparture(entry, now);
        }
    }
    m_entries = std::move(next);
    return changes;
}

/// Whether an outage since the last read can have been long enough for entries to expire.
bool EndpointCatalog::mayEntriesHaveExpired(base::Time now) const
{
    // An endpoint's last write may precede the outage by up to one interval.
    return m_lastRead && m_hasReadFailed && now >= *m_lastRead + m_options.heartbeatInterval * (m_options.missedHeartbeats - 1);
}

void EndpointCatalog::noteReadFailed()
{
    m_hasReadFailed = true;
}

void EndpointCatalog::noteRestored(base::Time now)
{
    m_keepsMissingUntil = std::max(m_keepsMissingUntil, now + m_options.rewriteTime);
    m_copyIsOldUntil = now + m_options.restoredCopyTime;
}

bool EndpointCatalog::isFromBeforeDeparture(const EndpointEntry &entry) const
{
    const auto it = m_departures.find(entry.id);
    return it != m_departures.end() && std::pair(entry.incarnation, entry.heartbeat) <= std::pair(it->second.incarnation, it->second.heartbeat);
}

void EndpointCatalog::rememberDeparture(const EndpointEntry &entry, base::Time now)
{
    m_departures[entry.id] = {entry.incarnation, entry.heartbeat, now + m_options.departureMemory};
}

const std::map<base::EndpointId, EndpointEntry> &EndpointCatalog::entries() const
{
    return m_entries;
}

base::Time EndpointCatalog::keepsMissingUntil() const
{
    return m_keepsMissingUntil;
}

std::optional<base::Time> EndpointCatalog::lastRead() const
{
    return m_lastRead;
}

} // namespace turmericplank::discovery
