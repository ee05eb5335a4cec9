#pragma once

#include <cstdint>

#include "turmericplank/base/time.hpp"
#include "turmericplank/routing/routetypes.hpp"

namespace turmericplank::routing {

/// @brief Limits for blocking an endpoint and rating its speed.
struct HealthOptions
{
    std::uint32_t failuresToBlock = 2; ///< number of consecutive failures that block an endpoint
    base::Duration initialBlock = std::chrono::seconds(1); ///< doubles with each further failure
    base::Duration maxBlock = std::chrono::seconds(30);
    base::Duration overloadBlock = std::chrono::milliseconds(200); ///< after a rejection for lack of capacity
    double slownessWeight = 0.2; ///< weight of the newest observation in the moving average
    double maxSlowness = 20.0; ///< upper bound of the factor on the expected times
    base::Duration halfLife = std::chrono::seconds(10); ///< decay of slowness and failure share
};

/// @brief Whether requests may be sent to an endpoint.
enum class HealthState {
    Healthy,
    ProbeOnly, ///< the block has expired; a single request may test the endpoint
    Blocked,
};

/// @brief Health of one endpoint, from the outcomes of attempts: failures block it, slow first tokens raise its cost.
///
/// Counts consecutive failed attempts rather than failures per time, so an endpoint that fails fast is blocked sooner.
class EndpointHealth
{
public:
    /// @brief Records the end of an attempt.
    void noteEnd(AttemptOutcome end, base::Time now, const HealthOptions &options);

    /// @brief Records that a probe request was sent; blocks further requests for the initial block time.
    void noteProbe(base::Time now, const HealthOptions &options);

    /// @brief Records the arrival of a first token.
    /// @param ratio observed time divided by expected time
    /// @param now current time
    /// @param options limits
    void noteFirstToken(double ratio, base::Time now, const HealthOptions &options);

    /// @brief Whether requests may be sent to the endpoint.
    HealthState healthState(base::Time now) const;

    /// @brief Factor to apply to the expected times; 1 is normal speed.
    double slowness(base::Time now, const HealthOptions &options) const;

    /// @brief Moving average of the share of failed attempts; decays with time, so that the endpoint is tried again.
    double failureShare(base::Time now, const HealthOptions &options) const;

    /// @brief When the current block expires.
    base::Time blockedUntil() const;

private:
    void block(base::Time now, const HealthOptions &options);

    std::uint32_t m_failuresInRow = 0;
    bool m_needsProbe = false;
    base::Time m_blockedUntil;
    double m_failureShare = 0;
    base::Time m_failureShareAt;
    double m_slowness = 1;
    base::Time m_slownessAt;
};

} // namespace turmericplank::routing
