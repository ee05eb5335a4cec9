#include "turmericplank/gateway/ratelimits.hpp"

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

using telemetry::LogLevel;

void RateLimits::noteAnswer(const base::EndpointId &endpoint, std::optional<double> callsPerSecond, base::Time)
{
    const auto it = m_limits.find(endpoint);
    if (callsPerSecond && (it == m_limits.end() || it->second != *callsPerSecond)) {
        m_limits[endpoint] = *callsPerSecond;
        telemetry::log(LogLevel::Warning, "endpoints", "calls are limited", {{"endpoint", endpoint.text()}, {"per_second", *callsPerSecond}});
    } else if (!callsPerSecond && it != m_limits.end()) {
        m_limits.erase(it);
        telemetry::log(LogLevel::Info, "endpoints", "calls are no longer limited", {{"endpoint", endpoint.text()}});
    }
}

} // namespace turmericplank::gateway
