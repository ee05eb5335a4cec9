#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericplank::standins::engine {

/// @brief Size of one cache block in bytes of the prompt.
constexpr std::size_t PrefixBlockBytes = 256;

/// @brief Hashes of the prefixes of a prompt: of its first block, its first two blocks and so on.
/// @param model name of the model or adapter
/// @param prompt compact JSON of the messages
/// @return one hash of 16 hexadecimal digits for each complete block, shortest prefix first
std::vector<std::string> prefixHashes(std::string_view model, std::string_view prompt);

/// @brief Addition or eviction of a prefix.
struct CacheChange
{
    std::string prefix;
    bool isAdded = false;

    friend bool operator==(const CacheChange &, const CacheChange &) = default;
};

/// @brief LRU cache of prompt prefixes.
class PrefixCache
{
public:
    /// @param capacity maximum number of cached blocks
    explicit PrefixCache(std::size_t capacity);

    /// @brief Number of consecutive cached prefixes of a prompt, counted from the shortest.
    /// @param prefixes hashes from the shortest prefix to the longest
    std::size_t cachedPrefixCount(const std::vector<std::string> &prefixes) const;

    /// @brief Caches all prefixes of a prompt.
    /// @param prefixes hashes from the shortest prefix to the longest
    /// @return added and evicted prefixes, in the order of the changes
    std::vector<CacheChange> insert(const std::vector<std::string> &prefixes);

    /// @brief Whether a prefix is cached.
    /// @param prefix hash of the prefix
    bool contains(const std::string &prefix) const;

private:
    std::size_t m_capacity;
    std::list<std::string> m_byRecency; ///< most recently used first
    std::unordered_map<std::string, std::list<std::string>::iterator> m_positions;
};

} // namespace turmericplank::standins::engine
