#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::discovery {

/// @brief Models that an engine holds, with the loaded adapters of each.
using HeldModels = std::map<base::ModelName, std::set<std::string>>;

/// @brief An endpoint's own entry in the platform's table.
struct EndpointEntry
{
    base::EndpointId id;
    base::ServiceName service;
    base::Address address;
    base::ZoneName zone;
    std::string softwareVersion; ///< of the endpoint's program, not of its models; versions have no order
    std::uint32_t slots = 1; ///< requests that it processes at the same time
    bool isLeaving = false; ///< gets no new requests
    std::optional<base::Duration> leavesWithin; ///< time from the writing of the entry until it leaves, if it leaves at short notice
    base::Incarnation incarnation; ///< grows with each start
    std::uint64_t heartbeat = 0; ///< grows with each write of this incarnation
    HeldModels models;
    std::set<base::ModelName> atHand; ///< models whose weights are in the engine's host memory or on its disk

    friend bool operator==(const EndpointEntry &, const EndpointEntry &) = default;
};

} // namespace turmericplank::discovery
