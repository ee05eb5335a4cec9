#pragma once

#include <cstddef>
#include <map>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/net/clientconnection.hpp"
#include "turmericplank/telemetry/logratelimiter.hpp"

namespace turmericplank::gateway {

/// @brief Knows to which endpoints new connections fail, and logs each change.
class ConnectionFailures
{
public:
    /// @brief Adds an endpoint; until a connection fails, it counts as one that accepts them.
    void addEndpoint(const base::EndpointId &id);

    /// @brief Removes an endpoint.
    void removeEndpoint(const base::EndpointId &id, base::Time now);

    /// @brief Records the result of an attempt to open a connection.
    /// @param error None if it was opened
    void noteResult(const base::EndpointId &id, net::ConnectionError error, base::Time now);

    /// @brief Number of endpoints to which the last attempt has failed.
    std::size_t failingCount() const;

    /// @brief Whether the last attempt has failed for each endpoint, and there is one.
    bool areAllFailing() const;

private:
    struct Endpoint
    {
        net::ConnectionError error = net::ConnectionError::None; ///< of the last attempt
        base::Time changedAt; ///< when attempts began to fail
    };

    void updateAllFailing(base::Time now);

    std::map<base::EndpointId, Endpoint> m_endpoints;
    std::size_t m_failingCount = 0;
    bool m_wereAllFailing = false;
    base::Time m_allFailingSince;
    telemetry::LogRateLimiter m_endpointLines{20};
};

} // namespace turmericplank::gateway
