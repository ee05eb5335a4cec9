#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::gateway {

/// @brief Limits that the site sets for daemons and their traffic to endpoints.
struct SiteBounds
{
    base::Duration drainTime = std::chrono::seconds(2); ///< a draining endpoint gets no new calls after this time
    base::Duration configurationTime = std::chrono::seconds(2); ///< from the acceptance of a configuration until it is in force at all daemons
    base::Duration shutdownTime = std::chrono::seconds(8); ///< from the stop signal to the end of the process
    base::Duration leaseHandoverPause = std::chrono::seconds(3); ///< without orders to an engine, between two lease holders
    base::Duration maxDirectoryTimeToLive = std::chrono::seconds(5); ///< upper bound of the directory's time to live
    base::Duration retryWindow = std::chrono::seconds(10);
    double retryRatio = 0.2; ///< retries per request, over all daemons
    double retrySlack = 50; ///< additional retries per window, over all daemons
    double weightLoadOverage = 1.1; ///< permitted factor of the weight store's rate
    bool enginesCheckTerms = true; ///< engines reject orders whose term is lower than one that they have seen

    friend bool operator==(const SiteBounds &, const SiteBounds &) = default;
};

/// @brief Identity and addresses of a gateway daemon.
struct Settings
{
    base::DaemonId id;
    base::ZoneName zone;
    base::Address callerAddress; ///< accepts calls
    base::Address readinessAddress;
    base::Address directoryAddress; ///< returns the entry VMs that callers can use
    base::Address peerAddress; ///< accepts messages from other daemons
    base::Address metricsAddress;
    SiteBounds bounds;
    base::Duration endpointHeartbeatInterval = std::chrono::milliseconds(1200); ///< between two writes of an endpoint's entry
    std::optional<std::size_t> memoryBytes; ///< of the VM
    std::optional<std::size_t> maxDescriptors; ///< that the process may open
    bool isFirstStart = true; ///< the whole system starts for the first time, so that missing rows were not written yet

    friend bool operator==(const Settings &, const Settings &) = default;
};

} // namespace turmericplank::gateway
