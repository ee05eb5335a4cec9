#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "routingtrace.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::bench {

/// @brief Routing policy of one daemon in the routing benchmark; endpoints are given by index.
class RoutingPolicy
{
public:
    /// @brief Index of the chosen endpoint and the ticket of the attempt.
    struct PolicyChoice
    {
        std::size_t endpoint = 0;
        std::uint64_t ticket = 0;
    };

    virtual ~RoutingPolicy() = default;
    /// @brief Chooses an endpoint and records the request as sent to it.
    virtual std::optional<PolicyChoice> choose(const TraceRequest &request, const std::vector<std::size_t> &excluded, base::Time now) = 0;
    virtual void noteFirstToken(std::uint64_t ticket, base::Time now);
    virtual void noteEnded(std::uint64_t ticket, routing::AttemptOutcome end, base::Time now);
    virtual void noteReport(std::size_t endpoint, const routing::LoadReport &report, base::Time now);
    virtual void noteEvents(std::size_t endpoint, const std::vector<routing::CacheEvent> &events, base::Time now);
    /// @brief Returns the work that the daemon's next heartbeat announces.
    virtual std::vector<routing::EndpointWork> workForHeartbeat(base::Time now);
    virtual void notePeerWork(std::size_t daemon, const std::vector<routing::EndpointWork> &work, base::Time now);
};

/// @brief Names of all policies, starting with the project's own.
const std::vector<std::string> &routingPolicyNames();

/// @brief Makes a policy for one daemon.
/// @param name one of routingPolicyNames()
/// @param site site with the endpoints
/// @param daemon index of the daemon
/// @param seed seed of the random choices
std::unique_ptr<RoutingPolicy> makeRoutingPolicy(const std::string &name, const RoutingSite &site, std::size_t daemon, unsigned seed);

} // namespace turmericplank::bench
