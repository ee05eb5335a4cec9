#pragma once

#include <map>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/routing/loadreport.hpp"

namespace turmericplank::routing {

/// @brief Picks which endpoints' work goes into the next heartbeat, so that its size is bounded.
///
/// What changed most since it was told goes first; what did not change is told again now and then, in case it was lost.
class WorkSelector
{
public:
    /// @brief Picks and takes note of what is told.
    /// @param own all work of this daemon
    /// @param limit most endpoints
    /// @param now the present
    /// @return what to tell; an endpoint whose work has ended is told with zeros
    std::vector<EndpointWork> select(const std::vector<EndpointWork> &own, std::size_t limit, base::Time now);

private:
    struct Told
    {
        EndpointWork work;
        base::Time at;
    };

    std::map<base::EndpointId, Told> m_told;
};

} // namespace turmericplank::routing
