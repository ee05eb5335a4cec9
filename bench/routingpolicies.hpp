#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "routingtrace.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::bench {

/// @brief How one daemon chooses endpoints in the routing benchmark; endpoints are numbered.
class RoutingPolicy
{
public:
    struct Chosen
    {
        std::size_t endpoint = 0;
        std::uint64_t ticket = 0;
    };

    virtual ~RoutingPolicy() = default;
    /// @brief Chooses and notes the sending.
    virtual std::optional<Chosen> choose(const TraceRequest &request, const std::vector<std::size_t> &excluded, base::Time now) = 0;
    virtual void noteFirstToken(std::uint64_t ticket, base::Time now);
    virtual void noteEnded(std::uint64_t ticket, routing::AttemptEnd end, base::Time now);
    virtual void noteReport(std::size_t endpoint, const routing::LoadReport &report, base::Time now);
    virtual void noteEvents(std::size_t endpoint, const std::vector<routing::CacheEvent> &events, base::Time now);
    virtual std::vector<routing::EndpointWork> workToTell(base::Time now);
    virtual void notePeerWork(std::size_t daemon, const std::vector<routing::EndpointWork> &work, base::Time now);
};

/// @brief Names of all policies, ours first.
const std::vector<std::string> &routingPolicyNames();

/// @brief Makes a policy for one daemon.
/// @param name one of the names
/// @param site whose endpoints it chooses among
/// @param daemon number of the daemon
/// @param seed of its random choices
std::unique_ptr<RoutingPolicy> makeRoutingPolicy(const std::string &name, const RoutingSite &site, std::size_t daemon, unsigned seed);

} // namespace turmericplank::bench
