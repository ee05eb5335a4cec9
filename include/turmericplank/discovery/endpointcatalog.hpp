#pragma once

#include <map>
#include <optional>
#include <vector>

#include "turmericplank/discovery/endpointentry.hpp"

namespace turmericplank::discovery {

/// @brief What became of an endpoint between two reads of the table.
enum class EndpointEvent { Appeared, Restarted, Moved, Leaving, Returned, Gone };

/// @brief The word of an event in logs.
std::string_view toString(EndpointEvent event);

/// @brief One change of the catalog.
struct EndpointChange
{
    EndpointEvent event = EndpointEvent::Appeared;
    EndpointEntry entry; ///< the new entry; for Gone the last known one

    friend bool operator==(const EndpointChange &, const EndpointChange &) = default;
};

/// @brief Waiting times of the catalog.
struct CatalogOptions
{
    base::Duration outageAfter = std::chrono::milliseconds(2500); ///< without a read; entries may have lapsed unseen by then
    base::Duration returnTime = std::chrono::milliseconds(2000); ///< lapsed entries of live endpoints are back by then, says the platform
};

/// @brief The endpoints that may be used, from successive reads of the platform's table.
///
/// An entry that is missing means that its endpoint is gone, except for a short time after an outage of the table, when
/// entries of live endpoints may have lapsed and are being written again.
class EndpointCatalog
{
public:
    explicit EndpointCatalog(CatalogOptions options = {});

    /// @brief Takes a whole read of the table.
    /// @param entries all readable entries
    /// @param now present time
    /// @return what changed, in the order of the endpoints' names
    std::vector<EndpointChange> apply(const std::vector<EndpointEntry> &entries, base::Time now);

    /// @brief All endpoints that are not gone, those that leave included.
    const std::map<base::EndpointId, EndpointEntry> &entries() const;

    /// @brief When entries that may have lapsed during an outage are given up; in the past if none are kept.
    base::Time keepsMissingUntil() const;

    /// @brief When the table was last read; nothing before the first read.
    std::optional<base::Time> lastRead() const;

private:
    CatalogOptions m_options;
    std::map<base::EndpointId, EndpointEntry> m_entries;
    std::optional<base::Time> m_lastRead;
    base::Time m_keepsMissingUntil;
};

} // namespace turmericplank::discovery
