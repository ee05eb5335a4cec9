#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "turmericplank/base/time.hpp"

namespace turmericplank::routing {

/// @brief Dense number of an endpoint within one router.
using EndpointIndex = std::uint32_t;

/// @brief One published change of an endpoint's prefix cache.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    std::uint64_t fingerprint = 0;
    bool isAdded = true;

    friend bool operator==(const CacheEvent &, const CacheEvent &) = default;
};

/// @brief Limits of the index.
struct PrefixIndexOptions
{
    std::size_t capacity = 65536; ///< prefixes; the least recently used goes first
    base::Duration lifetime = std::chrono::minutes(10); ///< without use, an entry is no longer believed
    base::Duration doubtLifetime = std::chrono::seconds(20); ///< the same, once events of its endpoint were missed
};

/// @brief A guess at which endpoints hold which prompt prefixes in their caches.
///
/// Events come late and with gaps, so an entry is believed for a bounded time only, and for a shorter one after a gap.
class PrefixIndex
{
public:
    explicit PrefixIndex(PrefixIndexOptions options = {});

    /// @brief Notes that an endpoint has computed a prefix, because a request with it was answered there.
    void noteUse(EndpointIndex endpoint, std::uint64_t fingerprint, base::Time now);

    /// @brief Takes a published change; a jump of the sequence puts all that is known of the endpoint in doubt.
    void apply(EndpointIndex endpoint, const CacheEvent &event, base::Time now);

    /// @brief Forgets everything of an endpoint, for example after its restart.
    void forget(EndpointIndex endpoint, base::Time now);

    /// @brief Endpoints that are believed to hold a prefix.
    /// @param fingerprint the prefix
    /// @param now the present
    /// @param found receives their numbers; is cleared first
    void holders(std::uint64_t fingerprint, base::Time now, std::vector<EndpointIndex> &found) const;

    /// @brief Number of prefixes held.
    std::size_t size() const;

private:
    struct Holder
    {
        EndpointIndex endpoint = 0;
        base::Time seenAt;
    };

    struct Entry
    {
        std::vector<Holder> holders;
        std::list<std::uint64_t>::iterator order;
    };

    struct Source
    {
        std::optional<std::uint64_t> nextSequence;
        base::Time doubtBefore; ///< entries seen before are in doubt
        base::Time forgottenBefore; ///< entries seen before are not believed
    };

    bool isBelieved(const Holder &holder, base::Time now) const;
    Source &source(EndpointIndex endpoint);
    Entry &touch(std::uint64_t fingerprint);

    PrefixIndexOptions m_options;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::list<std::uint64_t> m_order; ///< most recently used first
    std::vector<Source> m_sources;
};

} // namespace turmericplank::routing
