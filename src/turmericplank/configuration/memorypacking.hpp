#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "turmericplank/configuration/document.hpp"

namespace turmericplank::configuration {

/// @brief Memory that some replicas of one model need, each on an endpoint of its own.
struct Demand
{
    base::ModelName model;
    std::uint32_t memoryMib = 0;
    std::uint32_t replicas = 1;

    friend auto operator<=>(const Demand &, const Demand &) = default;
    friend bool operator==(const Demand &, const Demand &) = default;
};

/// @brief Places demands on endpoints, largest first, each on the endpoint with most memory left.
class Packing
{
public:
    /// @param endpoints where there is memory; those whose role does not serve are left out
    explicit Packing(const std::map<base::EndpointId, Endpoint> &endpoints);

    /// @brief Places replicas of a model.
    /// @return how many of them found a place
    std::uint32_t place(const Demand &demand);

    /// @brief Places an adapter beside a replica of its model that was placed before.
    /// @return whether there is room
    bool placeAdapter(const Adapter &adapter);

    /// @brief Most memory that is left on one endpoint, in MiB.
    std::uint32_t largestGap() const;

private:
    struct Room
    {
        std::uint32_t leftMib = 0;
        std::set<base::ModelName> models;
    };

    std::vector<Room> m_rooms;
};

} // namespace turmericplank::configuration
