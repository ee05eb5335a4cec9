#pragma once

#include <cstddef>
#include <cstdint>

namespace turmericplank::gateway {

/// @brief Daemons that share the endpoints of a service.
struct ServiceDaemons
{
    std::size_t onSite = 1; ///< this one included
    std::size_t without = 0; ///< those that reach no endpoint of the service
    std::size_t reportingWork = 1; ///< those that reach the service and tell this daemon their work, itself included

    friend bool operator==(const ServiceDaemons &, const ServiceDaemons &) = default;
};

/// @brief Number of connections that this daemon may have open to one endpoint.
///
/// Daemons without contact leave their shares, except for a few connections, to those that take their calls.
/// @param serviceLimit connections of all daemons together
/// @param isSettled whether this daemon has reached the service for long enough that the others know of it
std::uint32_t connectionShare(double serviceLimit, const ServiceDaemons &daemons, bool isSettled);

/// @brief Ratio of the work of all daemons to that of the ones that report it.
double unreportedWorkFactor(const ServiceDaemons &daemons);

} // namespace turmericplank::gateway
