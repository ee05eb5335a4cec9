#pragma once

#include <map>
#include <optional>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::gateway {

/// @brief Knows which endpoints state a limit for the calls per second that they take.
class RateLimits
{
public:
    /// @brief Applies an endpoint's answer.
    /// @param endpoint the endpoint
    /// @param callsPerSecond that it takes from all daemons together, as stated in the answer; nothing if it states none
    /// @param now current time
    void noteAnswer(const base::EndpointId &endpoint, std::optional<double> callsPerSecond, base::Time now);

private:
    std::map<base::EndpointId, double> m_limits; ///< calls per second
};

} // namespace turmericplank::gateway
