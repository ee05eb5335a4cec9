#pragma once

#include <map>
#include <optional>
#include <vector>

#include "turmericplank/discovery/endpointentry.hpp"

namespace turmericplank::discovery {

/// @brief Change of an endpoint between two reads of the platform's table.
///
/// Restarted means a new incarnation, Moved a new address, and Returned that the endpoint is no longer leaving.
enum class EndpointEvent { Appeared, Restarted, Moved, Leaving, Returned, Gone };

/// @brief Name of an event in the log.
std::string_view toString(EndpointEvent event);

/// @brief One change of the catalog.
struct EndpointChange
{
    EndpointEvent event = EndpointEvent::Appeared;
    EndpointEntry entry; ///< the new entry, or the last known one for Gone

    friend bool operator==(const EndpointChange &, const EndpointChange &) = default;
};

/// @brief Timeouts of the catalog.
struct CatalogOptions
{
    base::Duration heartbeatInterval = std::chrono::milliseconds(1200); ///< between two writes of an endpoint's entry
    int missedHeartbeats = 3; ///< in a row after which an entry expires
    base::Duration rewriteTime = std::chrono::milliseconds(2000); ///< time within which live endpoints rewrite expired entries, as documented by the platform
    /// After the table came back from an older copy: how long its entries of endpoints that have left since may stay, which is the
    /// time after which the platform removes entries that are not renewed, with a margin.
    base::Duration restoredCopyTime = std::chrono::seconds(10);
    base::Duration departureMemory = std::chrono::seconds(60); ///< how long a removed incarnation is remembered, well above the age of a copy
};

/// @brief The usable endpoints according to successive reads of the platform's table.
///
/// A missing entry means that its endpoint is gone. For a short time after an outage of the table, missing entries are kept
/// instead unless they were marked as leaving, because entries of live endpoints may have expired during the outage and are then
/// written again. A time without a read is an outage only if a read has failed in it; otherwise this daemon was paused, or the one that
/// reads for it has ended. Missing entries are also kept after the table came back from an older copy.
///
/// Entries may come out of order: relayed late by another daemon, written late to the table, or from an older copy of it. They do not
/// overrule what is known of the same incarnation from later heartbeats: an endpoint that was seen leaving stays so, and one that is
/// gone does not come back from an older copy.
class EndpointCatalog
{
public:
    explicit EndpointCatalog(CatalogOptions options = {});

    /// @brief Applies a complete read of the table.
    ///
    /// Entries that are older than what is known of their incarnation are ignored, and so are those that an older copy of the table lists of
    /// endpoints that have left since.
    /// @param entries all readable entries
    /// @param now current time
    /// @return the changes: first those of endpoints in the table, in the given order, then those that are gone
    std::vector<EndpointChange> apply(const std::vector<EndpointEntry> &entries, base::Time now);

    /// @brief Notes that a read of the table has failed since the last successful one.
    void noteReadFailed();

    /// @brief Notes that the table has come back from an older copy.
    void noteRestored(base::Time now);

    /// @brief All endpoints that are not gone, including those that are leaving.
    const std::map<base::EndpointId, EndpointEntry> &entries() const;

    /// @brief Until when entries that may have expired during an outage are kept; in the past if none are kept.
    base::Time keepsMissingUntil() const;

    /// @brief Time of the last read; nothing before the first read.
    std::optional<base::Time> lastRead() const;

private:
    bool mayEntriesHaveExpired(base::Time now) const;
    bool isFromBeforeDeparture(const EndpointEntry &entry) const;
    void rememberDeparture(const EndpointEntry &entry, base::Time now);

    CatalogOptions m_options;
    std::map<base::EndpointId, EndpointEntry> m_entries;
    std::optional<base::Time> m_lastRead;
    bool m_hasReadFailed = false; ///< since the last read
    base::Time m_keepsMissingUntil;
    base::Time m_copyIsOldUntil; ///< entries of the table may be those of endpoints that have left
    struct Departure
    {
        base::Incarnation incarnation;
        std::uint64_t heartbeat = 0; ///< of the last entry
        base::Time rememberedUntil;
    };
    std::map<base::EndpointId, Departure> m_departures;
};

} // namespace turmericplank::discovery
