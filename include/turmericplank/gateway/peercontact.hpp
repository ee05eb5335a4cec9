#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/gateway/peerstatus.hpp"

namespace turmericplank::gateway {

/// @brief How many daemons of the site reach no endpoint of a service, and some of those that reach one.
struct ServiceContact
{
    base::ServiceName service;
    std::uint32_t daemonsWithout = 0;
    std::vector<base::DaemonId> daemonsWith;

    friend bool operator==(const ServiceContact &, const ServiceContact &) = default;
};

/// @brief Encodes contacts as msgpack, for other daemons.
std::string encode(const std::vector<ServiceContact> &contacts);

/// @brief Decodes the output of encode().
tl::expected<std::vector<ServiceContact>, MessageDecodeFailure> decodeServiceContacts(std::string_view bytes);

/// @brief Summarizes the statuses of daemons for one of them.
///
/// Each daemon gets other ones as targets, and the same ones again while they keep their contact, so that load spreads over all of them and
/// connections between daemons stay few.
/// @param statuses of all daemons that are heard, the sender included
/// @return the services that some daemon does not reach; with daemons that reach them if the recipient does not
std::vector<ServiceContact> summarizeContacts(const std::vector<PeerStatus> &statuses, const PeerStatus &recipient);

/// @brief Limits of PeerContact.
struct PeerContactOptions
{
    base::Duration lifetime = std::chrono::seconds(3); ///< of a summary, which comes each second
    base::Duration refusalTime = std::chrono::seconds(1); ///< in which a daemon that did not take a call gets no other one
};

/// @brief What this daemon was told of the contact of daemons outside its group to endpoints. Deterministic; time is passed in.
class PeerContact
{
public:
    explicit PeerContact(PeerContactOptions options = {});

    /// @brief Replaces what is known by a newer summary.
    void noteSummary(const std::vector<ServiceContact> &contacts, base::Time now);

    /// @brief Notes that a daemon did not take a call of a service.
    void noteRefusal(const base::DaemonId &daemon, const base::ServiceName &service, base::Time now);

    /// @brief Whether a daemon did not take a call of a service lately.
    bool hasRefused(const base::DaemonId &daemon, const base::ServiceName &service, base::Time now) const;

    /// @brief Daemons that reach endpoints of a service; empty if nothing is known.
    std::set<base::DaemonId> daemonsWith(const base::ServiceName &service, base::Time now) const;

    /// @brief Number of daemons of the site that reach no endpoint of a service; zero if nothing is known.
    std::size_t daemonsWithout(const base::ServiceName &service, base::Time now) const;

    /// @brief Services that some daemon does not reach by the last summary.
    std::set<base::ServiceName> services(base::Time now) const;

    /// @brief Drops what is out of date.
    void expire(base::Time now);

private:
    PeerContactOptions m_options;
    std::map<base::ServiceName, ServiceContact> m_contacts;
    base::Time m_validUntil;
    std::map<std::pair<base::DaemonId, base::ServiceName>, base::Time> m_refusedUntil;
};

} // namespace turmericplank::gateway
