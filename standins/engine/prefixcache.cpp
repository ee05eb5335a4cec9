#include "engine/prefixcache.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::standins::engine {

std::vector<std::string> prefixNames(std::string_view model, std::string_view prompt)
{
    std::vector<std::string> names;
    auto hash = base::fingerprint(model);
    for (std::size_t n = PrefixBlockBytes; n <= prompt.size(); n += PrefixBlockBytes) {
        hash = base::fingerprint(prompt.substr(n - PrefixBlockBytes, PrefixBlockBytes), hash);
        std::array<char, 20> buf{};
        std::snprintf(buf.data(), buf.size(), "%016" PRIx64, hash);
        names.emplace_back(buf.data());
    }
    return names;
}

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
{
}

bool PrefixCache::contains(const std::string &prefix) const
{
    return m_places.count(prefix) > 0;
}

std::size_t PrefixCache::cachedLength(const std::vector<std::string> &prefixes) const
{
    std::size_t n = 0;
    while (n < prefixes.size() && contains(prefixes[n])) {
        ++n;
    }
    return n;
}

std::vector<CacheChange> PrefixCache::insert(const std::vector<std::string> &prefixes)
{
    std::vector<CacheChange> changes;
    // The longest prefix goes first, so that it is also the first one to be evicted.
    for (auto it = prefixes.rbegin(); it != prefixes.rend(); ++it) {
        const auto place = m_places.find(*it);
        if (place != m_places.end()) {
            m_recent.splice(m_recent.begin(), m_recent, place->second);
            continue;
        }
        m_recent.push_front(*it);
        m_places.emplace(*it, m_recent.begin());
        changes.push_back({*it, true});
    }
    while (m_recent.size() > m_capacity) {
        changes.push_back({m_recent.back(), false});
        m_places.erase(m_recent.back());
        m_recent.pop_back();
    }
    return changes;
}

} // namespace turmericplank::standins::engine
