#pragma once

#include <cstdint>

#include "turmericplank/base/time.hpp"
#include "turmericplank/routing/routetypes.hpp"

namespace turmericplank::routing {

/// @brief Limits of the judgement of one endpoint.
struct HealthOptions
{
    std::uint32_t failuresToBlock = 2; ///< in a row
    base::Duration firstBlock = std::chrono::seconds(1); ///< doubles with each failure
    base::Duration longestBlock = std::chrono::seconds(30);
    base::Duration overloadBlock = std::chrono::milliseconds(200);
    double slownessWeight = 0.2; ///< of the newest observation
    double highestSlowness = 20.0;
    base::Duration halfLife = std::chrono::seconds(10); ///< of slowness and failure share
};

/// @brief Whether requests may go to an endpoint.
enum class Trust {
    Full,
    OneProbe, ///< its block has passed; a single request may try it
    Blocked,
};

/// @brief What attempts showed of one endpoint: failures block it, slow first tokens make it look costly.
///
/// Failures count by attempts in a row, not by time, so an endpoint that fails fast is blocked sooner.
class EndpointHealth
{
public:
    /// @brief An attempt ended.
    /// @param end how
    /// @param now the present
    /// @param options limits
    void noteEnd(AttemptEnd end, base::Time now, const HealthOptions &options);

    /// @brief A request was sent while the endpoint was on probation.
    void noteProbe(base::Time now, const HealthOptions &options);

    /// @brief A first token came.
    /// @param ratio observed over expected time
    /// @param now the present
    /// @param options limits
    void noteFirstToken(double ratio, base::Time now, const HealthOptions &options);

    /// @brief Whether requests may go there.
    Trust trust(base::Time now) const;

    /// @brief Factor on the expected times, 1 for normal.
    double slowness(base::Time now, const HealthOptions &options) const;

    /// @brief Share of failures among the latest attempts; fades with time, so that it is tried again.
    double failureShare(base::Time now, const HealthOptions &options) const;

    /// @brief When the present block passes.
    base::Time blockedUntil() const;

private:
    void block(base::Time now, const HealthOptions &options);

    std::uint32_t m_failuresInRow = 0;
    bool m_isOnProbation = false;
    base::Time m_blockedUntil;
    double m_failureShare = 0;
    base::Time m_failureShareAt;
    double m_slowness = 1;
    base::Time m_slownessAt;
};

} // namespace turmericplank::routing
