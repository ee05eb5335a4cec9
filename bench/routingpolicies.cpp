#include "routingpolicies.hpp"

#include <algorithm>
#include <map>

#include "turmericplank/routing/workselector.hpp"

namespace turmericplank::bench {

namespace {

base::ModelName baseModel(const RoutingSite &site, const base::ModelName &name)
{
    const auto it = site.adapterModels.find(base::AdapterName(name.text()));
    return it == site.adapterModels.end() ? name : it->second;
}

/// Common base of the baseline policies: residents, unprocessed load reports and random choices.
class Baseline : public RoutingPolicy
{
public:
    Baseline(const RoutingSite &site, unsigned seed)
        : m_site(site)
        , m_random(seed)
        , m_reportedRequests(site.endpoints)
    {
        for (std::size_t n = 0; n < site.endpoints; ++n) {
            for (const auto &it : site.residents[n]) {
                m_residents[it].push_back(n);
            }
        }
    }

    std::optional<PolicyChoice> choose(const TraceRequest &request, const std::vector<std::size_t> &excluded, base::Time now) override
    {
        auto candidates = m_residents[baseModel(m_site, request.route.model)];
        std::erase_if(candidates, [&](std::size_t it) { return std::ranges::find(excluded, it) != excluded.end(); });
        if (candidates.empty()) {
            return std::nullopt;
        }
        return PolicyChoice{pick(candidates, request, now), 0};
    }

    void noteReport(std::size_t endpoint, const routing::LoadReport &report, base::Time /*now*/) override
    {
        m_reportedRequests[endpoint] = report.running + report.waiting;
    }

protected:
    virtual std::size_t pick(const std::vector<std::size_t> &candidates, const TraceRequest &request, base::Time now) = 0;

    std::size_t randomCandidate(const std::vector<std::size_t> &candidates)
    {
        return candidates[m_random() % candidates.size()];
    }

    std::uint32_t reportedRequests(std::size_t endpoint) const
    {
        return m_reportedRequests[endpoint];
    }

private:
    const RoutingSite &m_site;
    std::mt19937_64 m_random;
    std::vector<std::uint32_t> m_reportedRequests;
    std::map<base::ModelName, std::vector<std::size_t>> m_residents;
};

class RoundRobin : public Baseline
{
public:
    using Baseline::Baseline;

protected:
    std::size_t pick(const std::vector<std::size_t> &candidates, const TraceRequest &request, base::Time /*now*/) override
    {
        return candidates[m_next[request.route.model]++ % candidates.size()];
    }

private:
    std::map<base::ModelName, std::size_t> m_next;
};

class LeastReported : public Baseline
{
public:
    using Baseline::Baseline;

protected:
    std::size_t pick(const std::vector<std::size_t> &candidates, const TraceRequest & /*request*/, base::Time /*now*/) override
    {
        auto best = randomCandidate(candidates);
        for (const auto it : candidates) {
            best = reportedRequests(it) < reportedRequests(best) ? it : best;
        }
        return best;
    }
};

class TwoChoices : public Baseline
{
public:
    using Baseline::Baseline;

protected:
    std::size_t pick(const std::vector<std::size_t> &candidates, const TraceRequest & /*request*/, base::Time /*now*/) override
    {
        const auto first = randomCandidate(candidates);
        const auto second = randomCandidate(candidates);
        return reportedRequests(second) < reportedRequests(first) ? second : first;
    }
};

class PrefixOnly : public Baseline
{
public:
    using Baseline::Baseline;

    void noteEvents(std::size_t endpoint, const std::vector<routing::CacheEvent> &events, base::Time now) override
    {
        for (const auto &it : events) {
            m_index.apply(static_cast<routing::EndpointIndex>(endpoint), it, now);
        }
    }

protected:
    std::size_t pick(const std::vector<std::size_t> &candidates, const TraceRequest &request, base::Time now) override
    {
        const auto &prefixes = request.route.prefixes;
        auto chosen = candidates[prefixes.back().fingerprint % candidates.size()];
        // Leaves out the first prefix: all prompts of a model start with it, so it does not identify a conversation.
        for (auto it = prefixes.rbegin(); it + 1 < prefixes.rend(); ++it) {
            m_index.holders(it->fingerprint, now, m_holders);
            const auto cachedAt = std::ranges::find_if(m_holders, [&](auto index) { return std::ranges::find(candidates, index) != candidates.end(); });
            if (cachedAt != m_holders.end()) {
                chosen = *cachedAt;
                break;
            }
        }
        for (const auto &it : prefixes) {
            m_index.noteUse(static_cast<routing::EndpointIndex>(chosen), it.fingerprint, now);
        }
        return chosen;
    }

private:
    routing::PrefixIndex m_index;
    std::vector<routing::EndpointIndex> m_holders;
};

base::ZoneName zoneOf(std::size_t n)
{
    return base::ZoneName("r/" + std::to_string(n % 3));
}

base::EndpointId endpointId(std::size_t n)
{
    return base::EndpointId("e-" + std::to_string(n));
}

/// The project's router.
class RouterPolicy : public RoutingPolicy
{
public:
    RouterPolicy(const RoutingSite &site, std::size_t daemon, unsigned seed)
        : m_router(options(site, daemon))
        , m_random(seed)
    {
        std::vector<routing::RoutableEndpoint> endpoints;
        for (std::size_t n = 0; n < site.endpoints; ++n) {
            endpoints.push_back({endpointId(n), {}, zoneOf(n), 16});
            m_indexes[endpointId(n)] = n;
        }
        m_router.setEndpoints(endpoints);
        m_router.setModels(site.modelNames, site.adapterModels);
    }

    std::optional<PolicyChoice> choose(const TraceRequest &request, const std::vector<std::size_t> &excluded, base::Time now) override
    {
        auto route = request.route;
        for (const auto it : excluded) {
            route.excluded.push_back(endpointId(it));
        }
        const auto choice = m_router.choose(route, now, m_random);
        if (!choice) {
            return std::nullopt;
        }
        m_router.noteSent(*choice, route, now);
        return PolicyChoice{m_indexes.at(choice->endpoint), choice->ticket};
    }

    void noteFirstToken(std::uint64_t ticket, base::Time now) override
    {
        m_router.noteFirstToken(ticket, now);
    }

    void noteEnded(std::uint64_t ticket, routing::AttemptOutcome end, base::Time now) override
    {
        m_router.noteEnded(ticket, end, now);
    }

    void noteReport(std::size_t endpoint, const routing::LoadReport &report, base::Time now) override
    {
        m_router.noteReport(endpointId(endpoint), report, now);
    }

    void noteEvents(std::size_t endpoint, const std::vector<routing::CacheEvent> &events, base::Time now) override
    {
        m_router.noteCacheEvents(endpointId(endpoint), events, now);
    }

    std::vector<routing::EndpointWork> workForHeartbeat(base::Time now) override
    {
        return m_workSelector.select(m_router.ownWork(), WorkLimit, now);
    }

    void notePeerWork(std::size_t daemon, const std::vector<routing::EndpointWork> &work, base::Time now) override
    {
        m_router.notePeerWork(base::DaemonId(std::to_string(daemon)), work, now);
    }

private:
    static routing::RouterOptions options(const RoutingSite &site, std::size_t daemon)
    {
        routing::RouterOptions it;
        const auto ownZone = zoneOf(daemon);
        const auto otherZones = base::Duration(static_cast<std::int64_t>(site.zoneDelayMilliseconds * 1000));
        it.zoneDistance = [ownZone, otherZones](const base::ZoneName &zone) {
            return zone == ownZone ? base::Duration(100) : otherZones;
        };
        return it;
    }

    static constexpr std::size_t WorkLimit = 20; ///< max endpoints in a heartbeat

    routing::Router m_router;
    routing::WorkSelector m_workSelector;
    std::mt19937_64 m_random;
    std::map<base::EndpointId, std::size_t> m_indexes;
};

} // namespace

void RoutingPolicy::noteFirstToken(std::uint64_t /*ticket*/, base::Time /*now*/)
{
}

void RoutingPolicy::noteEnded(std::uint64_t /*ticket*/, routing::AttemptOutcome /*end*/, base::Time /*now*/)
{
}

void RoutingPolicy::noteReport(std::size_t /*endpoint*/, const routing::LoadReport & /*report*/, base::Time /*now*/)
{
}

void RoutingPolicy::noteEvents(std::size_t /*endpoint*/, const std::vector<routing::CacheEvent> & /*events*/, base::Time /*now*/)
{
}

std::vector<routing::EndpointWork> RoutingPolicy::workForHeartbeat(base::Time /*now*/)
{
    return {};
}

void RoutingPolicy::notePeerWork(std::size_t /*daemon*/, const std::vector<routing::EndpointWork> & /*work*/, base::Time /*now*/)
{
}

const std::vector<std::string> &routingPolicyNames()
{
    static const std::vector<std::string> names = {"ours", "round_robin", "least_reported", "prefix_only", "two_choices"};
    return names;
}

std::unique_ptr<RoutingPolicy> makeRoutingPolicy(const std::string &name, const RoutingSite &site, std::size_t daemon, unsigned seed)
{
    if (name == "round_robin") {
        return std::make_unique<RoundRobin>(site, seed);
    }
    if (name == "least_reported") {
        return std::make_unique<LeastReported>(site, seed);
    }
    if (name == "prefix_only") {
        return std::make_unique<PrefixOnly>(site, seed);
    }
    if (name == "two_choices") {
        return std::make_unique<TwoChoices>(site, seed);
    }
    return std::make_unique<RouterPolicy>(site, daemon, seed);
}

} // namespace turmericplank::bench
