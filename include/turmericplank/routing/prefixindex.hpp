#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "turmericplank/base/time.hpp"

namespace turmericplank::routing {

/// @brief Index of an endpoint within one router; indexes are dense and start at zero.
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
    std::size_t capacity = 65536; ///< max prefixes; the least recently used one is evicted
    base::Duration lifetime = std::chrono::minutes(10); ///< unused entries expire after this time
    base::Duration lifetimeAfterGap = std::chrono::seconds(20); ///< the same if later events of the endpoint were missed
};

/// @brief Estimates which endpoints hold which prompt prefixes in their caches.
///
/// Cache events arrive late and some are lost, so an entry is valid for a limited time only, and for less after a gap.
class PrefixIndex
{
public:
    explicit PrefixIndex(PrefixIndexOptions options = {});

    /// @brief Records that an endpoint computes a prefix, because a request with this prefix was sent there.
    void noteUse(EndpointIndex endpoint, std::uint64_t fingerprint, base::Time now);

    /// @brief Applies a published cache change; a gap in the sequence shortens the lifetime of all entries of the endpoint.
    void apply(EndpointIndex endpoint, const CacheEvent &event, base::Time now);

    /// @brief Invalidates all entries of an endpoint, for example after its restart.
    void forget(EndpointIndex endpoint, base::Time now);

    /// @brief Finds the endpoints that hold a prefix according to valid entries.
    /// @param fingerprint fingerprint of the prefix
    /// @param now current time
    /// @param found receives the endpoints' indexes; cleared first
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

    struct EventSource
    {
        std::optional<std::uint64_t> nextSequence;
        base::Time uncertainBefore; ///< entries seen before this time have the shorter lifetime
        base::Time invalidUntil; ///< entries seen up to this time are ignored
    };

    bool isValid(const Holder &holder, base::Time now) const;
    EventSource &source(EndpointIndex endpoint);
    Entry &touch(std::uint64_t fingerprint);

    PrefixIndexOptions m_options;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::list<std::uint64_t> m_order; ///< most recently used first
    std::vector<EventSource> m_sources;
};

} // namespace turmericplank::routing
