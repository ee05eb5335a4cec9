#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/priority.hpp"

namespace turmericplank::configuration {

/// @brief Settings of a model.
struct Model
{
    base::ModelName name;
    std::string version; ///< version of the weights to serve; a change is rolled out without interrupting service
    std::uint32_t memoryMib = 0; ///< accelerator memory of the weights
    std::uint32_t minimumReplicas = 1; ///< number of endpoints that always hold the model
    std::uint32_t firstTokenMilliseconds = 1500; ///< target time to the first token
    double weight = 1.0; ///< weight of this model's late requests in placement decisions

    friend auto operator<=>(const Model &, const Model &) = default;
    friend bool operator==(const Model &, const Model &) = default;
};

/// @brief An adapter of a base model. Callers request it by its name, like a model.
struct Adapter
{
    base::AdapterName name;
    base::ModelName model;
    std::uint32_t memoryMib = 0;

    friend auto operator<=>(const Adapter &, const Adapter &) = default;
    friend bool operator==(const Adapter &, const Adapter &) = default;
};

/// @brief A model engine on one accelerator.
struct Endpoint
{
    base::EndpointId id;
    base::Address address;
    base::ZoneName zone;
    std::uint32_t memoryMib = 0; ///< accelerator memory for weights and adapters
    std::uint32_t concurrency = 16; ///< number of streams that it batches without slowing down
    bool checksFencing = false; ///< whether it rejects orders that carry an outdated lease term
    std::string role = "serve"; ///< serve, prefill or decode

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

/// @brief A method and path of a service, and whether calls to it may be retried.
struct Operation
{
    std::string method;
    std::string pathPrefix;
    bool isRepeatable = false; ///< whether the call is idempotent

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

/// @brief A plain service next to the model engines. Calls that match none of its operations are never retried.
struct Service
{
    base::ServiceName name;
    std::vector<ServiceInstance> instances;
    std::vector<Operation> operations;

    friend auto operator<=>(const Service &, const Service &) = default;
    friend bool operator==(const Service &, const Service &) = default;
};

/// @brief Limits of one caller.
struct CallerPolicy
{
    base::CallerName name;
    base::Priority highestPriority = base::Priority::Urgent;
    double requestsPerSecond = 0; ///< 0 means unlimited
    std::uint32_t concurrency = 0; ///< maximum number of concurrent requests, 0 means unlimited

    friend auto operator<=>(const CallerPolicy &, const CallerPolicy &) = default;
    friend bool operator==(const CallerPolicy &, const CallerPolicy &) = default;
};

/// @brief Site-wide placement parameters.
struct PlacementPolicy
{
    double weightLoadsPerSecond = 2.0; ///< maximum rate of weight loads that the weight store allows
    std::uint32_t weightLoadsAtFullSpeed = 6; ///< number of concurrent weight loads beyond which each slows down
    std::uint32_t adapterLoadsInFlight = 50; ///< number of concurrent adapter loads, over all endpoints, beyond which each slows down
    double movePrice = 1.0; ///< cost of a load, an unload or a role change
    double latenessPrice = 1.0; ///< cost of a late request
    std::uint32_t spreadZones = 2; ///< number of zones that each model is spread over if memory allows

    friend auto operator<=>(const PlacementPolicy &, const PlacementPolicy &) = default;
    friend bool operator==(const PlacementPolicy &, const PlacementPolicy &) = default;
};

/// @brief The whole configuration document; each section is ordered by name.
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
