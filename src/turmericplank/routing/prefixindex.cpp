#include "turmericplank/routing/prefixindex.hpp"

#include <algorithm>

namespace turmericplank::routing {

PrefixIndex::PrefixIndex(PrefixIndexOptions options)
    : m_options(options)
{
}

PrefixIndex::EventSource &PrefixIndex::source(EndpointIndex endpoint)
{
    if (endpoint >= m_sources.size()) {
        m_sources.resize(endpoint + 1);
    }
    return m_sources[endpoint];
}

PrefixIndex::Entry &PrefixIndex::touch(std::uint64_t fingerprint)
{
    const auto it = m_entries.find(fingerprint);
    if (it != m_entries.end()) {
        m_order.splice(m_order.begin(), m_order, it->second.order);
        return it->second;
    }
    if (m_entries.size() >= m_options.capacity) {
        m_entries.erase(m_order.back());
        m_order.pop_back();
    }
    m_order.push_front(fingerprint);
    auto &entry = m_entries[fingerprint];
    entry.order = m_order.begin();
    return entry;
}

void PrefixIndex::noteUse(EndpointIndex endpoint, std::uint64_t fingerprint, base::Time now)
{
    source(endpoint);
    auto &holders = touch(fingerprint).holders;
    const auto it = std::ranges::find(holders, endpoint, &Holder::endpoint);
    if (it != holders.end()) {
        it->seenAt = now;
        return;
    }
    std::erase_if(holders, [&](const Holder &holder) { return !isValid(holder, now); });
    holders.push_back({endpoint, now});
}

void PrefixIndex::apply(EndpointIndex endpoint, const CacheEvent &event, base::Time now)
{
    auto &from = source(endpoint);
    if (from.nextSequence && event.sequence < *from.nextSequence) {
        return;
    }
    if (from.nextSequence && event.sequence > *from.nextSequence) {
        from.uncertainBefore = now;
    }
    from.nextSequence = event.sequence + 1;
    if (event.isAdded) {
        noteUse(endpoint, event.fingerprint, now);
        return;
    }
    const auto it = m_entries.find(event.fingerprint);
    if (it == m_entries.end()) {
        return;
    }
    std::erase_if(it->second.holders, [&](const Holder &holder) { return holder.endpoint == endpoint; });
    if (it->second.holders.empty()) {
        m_order.erase(it->second.order);
        m_entries.erase(it);
    }
}

void PrefixIndex::forget(EndpointIndex endpoint, base::Time now)
{
    auto &from = source(endpoint);
    from.nextSequence.reset();
    from.invalidUntil = now;
}

bool PrefixIndex::isValid(const Holder &holder, base::Time now) const
{
    const auto &from = m_sources[holder.endpoint];
    if (holder.seenAt <= from.invalidUntil) {
        return false;
    }
    const bool isUncertain = holder.seenAt < from.uncertainBefore;
    return now < holder.seenAt + (isUncertain ? m_options.lifetimeAfterGap : m_options.lifetime);
}

void PrefixIndex::holders(std::uint64_t fingerprint, base::Time now, std::vector<EndpointIndex> &found) const
{
    found.clear();
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end()) {
        return;
    }
    for (const auto &holder : it->second.holders) {
        if (isValid(holder, now)) {
            found.push_back(holder.endpoint);
        }
    }
}

std::size_t PrefixIndex::size() const
{
    return m_entries.size();
}

} // namespace turmericplank::routing
