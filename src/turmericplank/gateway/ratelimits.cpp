#include "turmericplank/gateway/ratelimits.hpp"

#include <utility>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

using telemetry::LogLevel;

RateLimits::RateLimits(base::DaemonId self, const SiteState &siteState, routing::RateAllowance &allowance,
                       std::function<std::vector<base::DaemonId>()> otherDaemons)
    : m_self(std::move(self))
    , m_siteState(siteState)
    , m_allowance(allowance)
    , m_otherDaemons(std::move(otherDaemons))
{
}

void RateLimits::noteAnswer(const base::EndpointId &endpoint, std::optional<double> callsPerSecond, base::Time now)
{
    noteStatement(endpoint, callsPerSecond, now, now);
}

void RateLimits::noteStatement(const base::EndpointId &endpoint, std::optional<double> callsPerSecond, base::Time heardAt, base::Time now)
{
    if (!m_siteState.endpoints().contains(endpoint)) {
        return;
    }
    const auto before = m_allowance.limit(endpoint);
    m_allowance.noteStatement(endpoint, callsPerSecond, heardAt, now);
    const auto limit = m_allowance.limit(endpoint);
    if (limit == before) {
        return;
    }
    if (limit) {
        telemetry::log(LogLevel::Warning, "endpoints", "calls are limited", {{"endpoint", endpoint.text()}, {"per_second", *limit}});
    } else {
        telemetry::log(LogLevel::Info, "endpoints", "calls are no longer limited", {{"endpoint", endpoint.text()}});
    }
}

void RateLimits::fillStatus(PeerStatus &status, base::Time now)
{
    for (const auto &it : m_allowance.report(now)) {
        status.rateLimits.push_back({it.endpoint, it.callsPerSecond, now - it.heardAt, it.demand});
    }
}

void RateLimits::notePeerStatus(const PeerStatus &status, base::Time now)
{
    for (const auto &it : status.rateLimits) {
        noteStatement(it.endpoint, it.callsPerSecond, now - it.age, now);
        m_allowance.notePeerDemand(status.from, it.endpoint, it.demand, now);
    }
}

void RateLimits::update(base::Time now)
{
    m_allowance.setDaemons(m_self, m_otherDaemons(), now);
    m_allowance.dropUnlisted([this](const base::EndpointId &it) { return m_siteState.endpoints().contains(it); });
}

} // namespace turmericplank::gateway
