#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/priority.hpp"

namespace turmericplank::configuration {

/// @brief A model as its team configured it.
struct Model
{
    base::ModelName name;
    std::string version; ///< weights to serve; a new one is rolled without a gap
    std::uint32_t memoryMib = 0; ///< accelerator memory of the weights
    std::uint32_t minimumReplicas = 1; ///< endpoints that always hold it
    std::uint32_t firstTokenMilliseconds = 1500; ///< what its callers expect
    double weight = 1.0; ///< how much a late request of this model counts

    friend auto operator<=>(const Model &, const Model &) = default;
    friend bool operator==(const Model &, const Model &) = default;
};

/// @brief An adapter of a base model; callers use its name as a model name.
struct Adapter
{
    base::AdapterName name;
    base::ModelName model;
    std::uint32_t memoryMib = 0;

    friend auto operator<=>(const Adapter &, const Adapter &) = default;
    friend bool operator==(const Adapter &, const Adapter &) = default;
};

/// @brief A model engine on one accelerator that may serve.
struct Endpoint
{
    base::EndpointId id;
    base::Address address;
    base::ZoneName zone;
    std::uint32_t memoryMib = 0; ///< accelerator memory for weights and adapters
    std::uint32_t concurrency = 16; ///< streams that it batches at full speed
    bool checksFencing = false; ///< whether it refuses orders with an old term
    std::string role = "serve"; ///< serve, prefill or decode

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

/// @brief A call of a service and whether it is idempotent.
struct Operation
{
    std::string method;
    std::string pathPrefix;
    bool isRepeatable = false;

    friend auto operator<=>(const Operation &, const Operation &) = default;
    friend bool operator==(const Operation &, const Operation &) = default;
};

/// @brief One instance of a service.
struct ServiceInstance
{
    base::EndpointId id;
    base::Address address;
    base::ZoneName zone;

    friend auto operator<=>(const ServiceInstance &, const ServiceInstance &) = default;
    friend bool operator==(const ServiceInstance &, const ServiceInstance &) = default;
};

/// @brief A plain service beside the engines; a call that no operation names may not be repeated.
struct Service
{
    base::ServiceName name;
    std::vector<ServiceInstance> instances;
    std::vector<Operation> operations;

    friend auto operator<=>(const Service &, const Service &) = default;
    friend bool operator==(const Service &, const Service &) = default;
};

/// @brief What one caller may ask for.
struct CallerPolicy
{
    base::CallerName name;
    base::Priority highestPriority = base::Priority::Urgent;
    double requestsPerSecond = 0; ///< zero for no limit
    std::uint32_t concurrency = 0; ///< zero for no limit

    friend auto operator<=>(const CallerPolicy &, const CallerPolicy &) = default;
    friend bool operator==(const CallerPolicy &, const CallerPolicy &) = default;
};

/// @brief Site-wide numbers of placement.
struct PlacementPolicy
{
    double weightLoadsPerSecond = 2.0; ///< rate that the weight store allows
    std::uint32_t weightLoadsAtFullSpeed = 6; ///< loads at once before each slows down
    std::uint32_t adapterLoadsInFlight = 50; ///< adapter loads over all endpoints before each slows down
    double movePrice = 1.0; ///< price of a load, unload or role change
    double latenessPrice = 1.0; ///< price of a late request
    std::uint32_t spreadZones = 2; ///< zones that each model stands in where memory allows

    friend auto operator<=>(const PlacementPolicy &, const PlacementPolicy &) = default;
    friend bool operator==(const PlacementPolicy &, const PlacementPolicy &) = default;
};

/// @brief The whole document as it was accepted; ordered by name within each part.
struct Document
{
    std::string site;
    std::map<base::ModelName, Model> models;
    std::map<base::AdapterName, Adapter> adapters;
    std::map<base::EndpointId, Endpoint> endpoints;
    std::map<base::ServiceName, Service> services;
    std::map<base::CallerName, CallerPolicy> callers;
    PlacementPolicy placement;

    friend bool operator==(const Document &, const Document &) = default;
};

} // namespace turmericplank::configuration
