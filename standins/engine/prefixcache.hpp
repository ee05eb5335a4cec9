#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericplank::standins::engine {

/// @brief Bytes of a prompt that one cached block covers.
constexpr std::size_t PrefixBlockBytes = 256;

/// @brief Names of a prompt's prefixes: of its first block, its first two blocks and so on.
/// @param model name of the model or adapter
/// @param prompt compact JSON of the messages
/// @return 16 hexadecimal digits for each whole block
std::vector<std::string> prefixHashes(std::string_view model, std::string_view prompt);

/// @brief One change of the cache.
struct CacheChange
{
    std::string prefix;
    bool isAdded = false;

    friend bool operator==(const CacheChange &, const CacheChange &) = default;
};

/// @brief Cached prefixes in bounded memory, least recently used out first.
class PrefixCache
{
public:
    /// @param capacity blocks that fit
    explicit PrefixCache(std::size_t capacity);

    /// @brief Leading prefixes of a prompt that are cached.
    /// @param prefixes names from the shortest to the longest
    std::size_t cachedPrefixCount(const std::vector<std::string> &prefixes) const;

    /// @brief Caches all prefixes of a prompt.
    /// @param prefixes names from the shortest to the longest
    /// @return what was added and removed, in order
    std::vector<CacheChange> insert(const std::vector<std::string> &prefixes);

    /// @brief Whether a prefix is cached.
    /// @param prefix its name
    bool contains(const std::string &prefix) const;

private:
    std::size_t m_capacity;
    std::list<std::string> m_byRecency; ///< most recently used first
    std::unordered_map<std::string, std::list<std::string>::iterator> m_positions;
};

} // namespace turmericplank::standins::engine
