#include "turmericplank/gateway/rejectionlimits.hpp"

#include <utility>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

using telemetry::LogLevel;

RejectionLimits::RejectionLimits(base::DaemonId self, const SiteState &siteState, routing::Router &router,
                                 std::function<std::vector<base::DaemonId>()> otherDaemons)
    : m_self(std::move(self))
    , m_siteState(siteState)
    , m_router(router)
    , m_otherDaemons(std::move(otherDaemons))
{
}

void RejectionLimits::noteAnswer(const base::EndpointId &endpoint, std::optional<std::uint32_t> rejectionsPerSecond, base::Time now)
{
    const auto it = m_siteState.endpoints().find(endpoint);
    if (it == m_siteState.endpoints().end()) {
        return;
    }
    m_tolerances.noteAnswer(it->second.service, rejectionsPerSecond, now);
    if (m_tolerances.all(now) != m_limits) {
        update(now);
    }
}

void RejectionLimits::fillStatus(PeerStatus &status, base::Time now) const
{
    for (const auto &it : m_tolerances.ownStatements(now)) {
        status.rejectionTolerances.push_back({it.service, it.rejectionsPerSecond, now - it.heardAt});
    }
}

void RejectionLimits::notePeerStatus(const PeerStatus &status, base::Time now)
{
    for (const auto &it : status.rejectionTolerances) {
        m_tolerances.notePeer({it.service, it.rejectionsPerSecond, now - it.age});
    }
    const auto limits = m_tolerances.all(now);
    // The daemons matter only while there are limits; update() looks for others often enough.
    if (!limits.empty() || limits != m_limits) {
        update(now);
    }
}

void RejectionLimits::update(base::Time now)
{
    auto limits = m_tolerances.all(now);
    logChanges(limits);
    m_limits = std::move(limits);
    m_router.setRejectionLimits(m_limits, m_self, m_otherDaemons(), now);
}

void RejectionLimits::logChanges(const std::map<base::ServiceName, std::uint32_t> &limits) const
{
    for (const auto &[service, limit] : limits) {
        if (!m_limits.contains(service)) {
            telemetry::log(LogLevel::Warning, "endpoints", "rejections are limited", {{"service", service.text()}, {"per_second", std::uint64_t(limit)}});
        }
    }
    for (const auto &[service, limit] : m_limits) {
        if (!limits.contains(service)) {
            telemetry::log(LogLevel::Info, "endpoints", "rejections are no longer limited", {{"service", service.text()}});
        }
    }
}

} // namespace turmericplank::gateway
