#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "turmericplank/configuration/document.hpp"

namespace turmericplank::configuration {

/// @brief Memory required by the replicas of one model, each on a different endpoint.
struct ReplicaDemand
{
    base::ModelName model;
    std::uint32_t memoryMib = 0;
    std::uint32_t replicas = 1;

    friend auto operator<=>(const ReplicaDemand &, const ReplicaDemand &) = default;
    friend bool operator==(const ReplicaDemand &, const ReplicaDemand &) = default;
};

/// @brief Assigns demands to endpoints, each to the endpoint with the most free memory. Demands should be placed largest first.
class Packing
{
public:
    /// @param endpoints endpoints to place on; must not contain endpoints that do not serve callers
    explicit Packing(const std::map<base::EndpointId, Endpoint> &endpoints);

    /// @brief Places the replicas of a model.
    /// @return number of replicas placed
    std::uint32_t place(const ReplicaDemand &demand);

    /// @brief Places an adapter on an endpoint that already holds its model.
    /// @return whether an endpoint has enough free memory
    bool placeAdapter(const Adapter &adapter);

    /// @brief Returns the largest free memory of any endpoint, in MiB.
    std::uint32_t largestFreeMib() const;

private:
    struct EndpointMemory
    {
        std::uint32_t freeMib = 0;
        std::set<base::ModelName> models;
    };

    std::vector<EndpointMemory> m_endpoints;
};

} // namespace turmericplank::configuration
