#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::routing {

/// @brief A model that an endpoint holds in accelerator memory.
struct ReportedModel
{
    base::ModelName model;
    std::string version;

    friend auto operator<=>(const ReportedModel &, const ReportedModel &) = default;
    friend bool operator==(const ReportedModel &, const ReportedModel &) = default;
};

/// @brief Load and resident models as reported by an endpoint; up to a few seconds old.
struct LoadReport
{
    base::Incarnation incarnation;
    base::Time takenAt;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool isLeaving = false;
    std::string role;
    std::vector<ReportedModel> resident;
    std::vector<base::AdapterName> adapters;

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// @brief Streams and pending prompt work that one daemon has on one endpoint; part of its heartbeat.
struct EndpointWork
{
    base::EndpointId endpoint;
    std::uint32_t streams = 0;
    std::uint32_t urgentWaiting = 0; ///< urgent requests without a first token
    std::uint32_t otherWaiting = 0; ///< other requests without a first token
    std::uint32_t urgentTokens = 0; ///< prompt tokens of urgent requests without a first token
    std::uint32_t otherTokens = 0; ///< prompt tokens of other requests without a first token

    friend auto operator<=>(const EndpointWork &, const EndpointWork &) = default;
    friend bool operator==(const EndpointWork &, const EndpointWork &) = default;
};

} // namespace turmericplank::routing
