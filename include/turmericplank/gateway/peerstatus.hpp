#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/placement/conditionalorder.hpp"
#include "turmericplank/placement/demand.hpp"
#include "turmericplank/routing/loadreport.hpp"

namespace turmericplank::gateway {

/// @brief State of an engine that the sender knows from its own orders, before the engine's entry shows it.
struct EngineNotice
{
    base::EndpointId endpoint;
    base::Incarnation incarnation;
    std::uint64_t sequence = 0;
    discovery::HeldModels models;

    friend bool operator==(const EngineNotice &, const EngineNotice &) = default;
};

/// @brief An endpoint that gets nothing new; a later incarnation is not meant.
struct LeavingEndpoint
{
    base::EndpointId endpoint;
    base::Incarnation incarnation;

    friend auto operator<=>(const LeavingEndpoint &, const LeavingEndpoint &) = default;
    friend bool operator==(const LeavingEndpoint &, const LeavingEndpoint &) = default;
};

/// @brief What a gateway daemon tells each other one, again and again; always whole, so that a lost one does no harm.
struct PeerNotice
{
    base::DaemonId from;
    base::Address peers; ///< where the sender listens for other daemons
    base::Address callers; ///< and for callers
    base::ZoneName zone;
    base::Incarnation incarnation;
    bool isReady = false;
    bool isLeaving = false;
    base::Term term; ///< of the placement lease that the sender holds; zero if it holds none
    base::Revision revision; ///< of the configuration that it has in force
    std::vector<routing::EndpointWork> work;
    std::vector<LeavingEndpoint> leavingEndpoints; ///< that the sender has read to leave or to be gone
    std::vector<EngineNotice> engines; ///< told by the holder of the lease
    std::optional<placement::DemandCounters> demand; ///< told to the holder of the lease, and to all while none is heard

    friend bool operator==(const PeerNotice &, const PeerNotice &) = default;
};

/// @brief Why bytes are not a notice.
enum class NoticeFailure { Malformed };

/// @brief Writes a notice as msgpack.
std::string encode(const PeerNotice &notice);

/// @brief Reads a notice; unknown members are ignored.
tl::expected<PeerNotice, NoticeFailure> decodePeerNotice(std::string_view bytes);

} // namespace turmericplank::gateway
