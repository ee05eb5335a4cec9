#pragma once

#include <string>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::gateway {

/// @brief Bounds that the site sets for the traffic between daemons and endpoints.
struct SiteBounds
{
    base::Duration drainTime = std::chrono::seconds(2); ///< a leaving endpoint gets nothing new after this
    base::Duration stopTime = std::chrono::seconds(8); ///< from the signal to stop to the end of the process
    base::Duration holderPause = std::chrono::seconds(3); ///< without orders between two holders of one engine
    base::Duration entryKeepTime = std::chrono::seconds(5); ///< most that counts of what a caller is told to keep an answer for
    base::Duration retryWindow = std::chrono::seconds(10);
    double retryShare = 0.2; ///< repeated sends per request, over all daemons
    double retrySlack = 50; ///< repeated sends per window beyond that share, over all daemons
    double weightLoadOverage = 1.1; ///< of the weight store's rate

    friend bool operator==(const SiteBounds &, const SiteBounds &) = default;
};

/// @brief Who and where a gateway daemon is.
struct Settings
{
    base::DaemonId id;
    base::ZoneName zone;
    base::Address callers; ///< serves calls
    base::Address readiness;
    base::Address directory; ///< tells callers which entry VM to use
    base::Address peers; ///< other daemons
    base::Address metrics;
    SiteBounds bounds;

    friend bool operator==(const Settings &, const Settings &) = default;
};

} // namespace turmericplank::gateway
