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
    // An endpoint's last write may precede the outage by up to one interval.
    if (maxOutageSinceRead(entries, now) >= m_options.heartbeatInterval * (m_options.missedHeartbeats - 1)) {
        m_keepsMissingUntil = now + m_options.rewriteTime;
    }
    m_lastRead = now;
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

/// The longest time since the last read for which the table may not have accepted writes, judged by how often the typical endpoint has
/// renewed its entry. The median ignores endpoints that cannot write themselves and those that write more often.
base::Duration EndpointCatalog::maxOutageSinceRead(const std::vector<EndpointEntry> &entries, base::Time now) const
{
    if (!m_lastRead || now <= *m_lastRead) {
        return {};
    }
    const auto gap = now - *m_lastRead;
    std::vector<std::uint64_t> renewals;
    for (const auto &it : entries) {
        const auto known = m_entries.find(it.id);
        if (known != m_entries.end() && known->second.incarnation == it.incarnation) {
            renewals.push_back(it.heartbeat - std::min(it.heartbeat, known->second.heartbeat));
        }
    }
    if (renewals.empty()) {
        return gap;
    }
    const auto median = renewals.begin() + static_cast<std::ptrdiff_t>(renewals.size() / 2);
    std::ranges::nth_element(renewals, median);
    const auto intervals = std::min<std::uint64_t>(*median, static_cast<std::uint64_t>(gap / m_options.heartbeatInterval) + 1);
    // N writes span N - 1 intervals at least.
    return intervals == 0 ? gap : gap - m_options.heartbeatInterval * static_cast<std::int64_t>(intervals - 1);
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
