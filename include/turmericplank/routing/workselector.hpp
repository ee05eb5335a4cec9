#pragma once

#include <map>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/routing/loadreport.hpp"

namespace turmericplank::routing {

/// @brief Selects the endpoints whose work is sent in the next heartbeat, so that its size is bounded.
///
/// Endpoints whose work changed most since it was last sent come first. Unchanged work is sent again from time to time, in
/// case a heartbeat was lost.
class WorkSelector
{
public:
    /// @brief Selects endpoints and records their work as sent.
    /// @param own all work of this daemon
    /// @param limit max number of endpoints
    /// @param now current time
    /// @return the work to send; all fields are zero for an endpoint whose work has ended
    std::vector<EndpointWork> select(const std::vector<EndpointWork> &own, std::size_t limit, base::Time now);

private:
    struct Announced
    {
        EndpointWork work;
        base::Time at;
    };

    std::map<base::EndpointId, Announced> m_announced;
};

} // namespace turmericplank::routing
