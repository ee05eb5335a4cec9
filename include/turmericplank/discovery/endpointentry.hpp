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

/// @brief Weights that an engine holds, with the adapters beside each model.
using HeldModels = std::map<base::ModelName, std::set<std::string>>;

/// @brief What an endpoint says of itself in the platform's table.
struct EndpointEntry
{
    base::EndpointId id;
    base::ServiceName service;
    base::Address address;
    base::ZoneName zone;
    std::uint32_t slots = 1; ///< requests that it works on at once
    bool isLeaving = false; ///< gets nothing new
    std::optional<base::Duration> leavesWithin; ///< from the entry's writing, where it leaves at short notice
    base::Incarnation incarnation; ///< grows with each start
    std::uint64_t heartbeat = 0; ///< grows with each write of this incarnation
    HeldModels models;
    std::set<base::ModelName> atHand; ///< weights with a copy in the engine's own memory or on its disk

    friend bool operator==(const EndpointEntry &, const EndpointEntry &) = default;
};

} // namespace turmericplank::discovery
