#include "engine/prefixcache.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::standins::engine {

std::vector<std::string> prefixHashes(std::string_view model, std::string_view prompt)
{
    std::vector<std::string> hashes;
    auto hash = base::fingerprint(model);
    for (std::size_t n = PrefixBlockBytes; n <= prompt.size(); n += PrefixBlockBytes) {
        hash = base::fingerprint(prompt.substr(n - PrefixBlockBytes, PrefixBlockBytes), hash);
        std::array<char, 20> buffer{};
        std::snprintf(buffer.data(), buffer.size(), "%016" PRIx64, hash);
        hashes.emplace_back(buffer.data());
    }
    return hashes;
}

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
{
}

bool PrefixCache::contains(const std::string &prefix) const
{
    return m_positions.count(prefix) > 0;
}

std::size_t PrefixCache::cachedPrefixCount(const std::vector<std::string> &prefixes) const
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
    // Inserts the longest prefix first, so that it is also evicted first.
    for (auto it = prefixes.rbegin(); it != prefixes.rend(); ++it) {
        const auto position = m_positions.find(*it);
        if (position != m_positions.end()) {
            m_byRecency.splice(m_byRecency.begin(), m_byRecency, position->second);
            continue;
        }
        m_byRecency.push_front(*it);
        m_positions.emplace(*it, m_byRecency.begin());
        changes.push_back({*it, true});
    }
    while (m_byRecency.size() > m_capacity) {
        changes.push_back({m_byRecency.back(), false});
        m_positions.erase(m_byRecency.back());
        m_byRecency.pop_back();
    }
    return changes;
}

} // namespace turmericplank::standins::engine
