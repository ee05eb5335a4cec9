#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/placement/conditionalorder.hpp"
#include "turmericplank/placement/demand.hpp"
#include "turmericplank/routing/loadreport.hpp"

namespace turmericplank::gateway {

/// @brief State of an engine that the sender knows from its own orders, before it appears in the engine's entry.
struct EngineUpdate
{
    base::EndpointId endpoint;
    base::Incarnation incarnation;
    std::uint64_t acceptedOrders = 0; ///< number of orders that the engine has accepted
    discovery::HeldModels models;

    friend bool operator==(const EngineUpdate &, const EngineUpdate &) = default;
};

/// @brief An incarnation of an endpoint that gets no new calls, because it is draining or has been removed.
struct DrainingEndpoint
{
    base::EndpointId endpoint;
    base::Incarnation incarnation;

    friend auto operator<=>(const DrainingEndpoint &, const DrainingEndpoint &) = default;
    friend bool operator==(const DrainingEndpoint &, const DrainingEndpoint &) = default;
};

/// @brief Rejections per second that each endpoint of a service survives, as stated in answers to the sender.
struct ReportedTolerance
{
    base::ServiceName service;
    std::uint32_t rejectionsPerSecond = 0;
    base::Duration age{0}; ///< since the last such answer, when the status was sent; clocks of VMs differ

    friend auto operator<=>(const ReportedTolerance &, const ReportedTolerance &) = default;
    friend bool operator==(const ReportedTolerance &, const ReportedTolerance &) = default;
};

/// @brief A limit of an endpoint's calls per second, and the sender's demand for them.
struct ReportedRateLimit
{
    base::EndpointId endpoint;
    std::optional<double> callsPerSecond; ///< that the endpoint takes from all daemons; nothing if it no longer states a limit
    base::Duration age{0}; ///< since the endpoint last said so, when the status was sent; clocks of VMs differ
    double demand = 0; ///< calls per second that the sender could send

    friend auto operator<=>(const ReportedRateLimit &, const ReportedRateLimit &) = default;
    friend bool operator==(const ReportedRateLimit &, const ReportedRateLimit &) = default;
};

/// @brief State that a gateway daemon sends periodically to its peers. Always complete, so that losing one is harmless.
struct PeerStatus
{
    base::DaemonId from;
    base::Address peerAddress; ///< where the sender listens for its peers
    base::Address callerAddress; ///< where the sender listens for callers
    base::ZoneName zone;
    base::Incarnation incarnation;
    bool isReady = false;
    bool isDraining = false;
    bool isCutOff = false; ///< the sender reaches no endpoint; earlier builds say no more than this
    std::set<base::ServiceName> unreachableServices; ///< of which the sender reaches no endpoint
    base::Term term; ///< of the placement lease; zero if the sender does not hold it
    base::Revision revision; ///< of the configuration in force at the sender
    bool isWatchingConfiguration = true; ///< the sender waits for changes on behalf of its group, and the store answers; earlier builds do not tell
    base::StoreEra storeEra; ///< as reported by the store to the sender
    std::vector<routing::EndpointWork> endpointWork;
    std::vector<DrainingEndpoint> drainingEndpoints; ///< draining or recently removed, as read by the sender
    std::vector<ReportedTolerance> rejectionTolerances;
    std::vector<ReportedRateLimit> rateLimits;
    std::vector<EngineUpdate> engines; ///< sent by the holder of the lease
    std::optional<placement::DemandCounters> demand; ///< sent to the holder of the lease, and to all peers while no holder is heard

    friend bool operator==(const PeerStatus &, const PeerStatus &) = default;
};

/// @brief Whether a daemon reaches endpoints of a service, by its status.
bool reaches(const PeerStatus &status, const base::ServiceName &service);

/// @brief Why a message cannot be decoded.
enum class MessageDecodeFailure { Malformed };

/// @brief Encodes a status as msgpack.
std::string encode(const PeerStatus &status);

/// @brief Decodes a status; unknown members are ignored.
tl::expected<PeerStatus, MessageDecodeFailure> decodePeerStatus(std::string_view bytes);

} // namespace turmericplank::gateway
