#include "turmericplank/routing/rejectiontolerances.hpp"

namespace turmericplank::routing {

RejectionTolerances::RejectionTolerances(RejectionTolerancesOptions options)
    : m_options(options)
{
}

void RejectionTolerances::noteAnswer(const base::ServiceName &service, std::optional<std::uint32_t> rejectionsPerSecond, base::Time now)
{
    if (!rejectionsPerSecond) {
        const auto it = m_services.find(service);
        if (it != m_services.end()) {
            it->second.lastWithoutStatement = now;
        }
        return;
    }
    auto &it = m_services[service];
    it.own = RejectionTolerance{service, *rejectionsPerSecond, now};
    it.latest = it.own;
}

void RejectionTolerances::notePeer(const RejectionTolerance &heard)
{
    auto &latest = m_services[heard.service].latest;
    if (!latest || latest->heardAt < heard.heardAt) {
        latest = heard;
    }
}

bool RejectionTolerances::isValid(const Service &service, const std::optional<RejectionTolerance> &statement, base::Time now) const
{
    const bool isRevoked = statement && service.lastWithoutStatement && *service.lastWithoutStatement >= statement->heardAt + m_options.overlap;
    return statement && !isRevoked && now < statement->heardAt + m_options.lifetime;
}

std::optional<std::uint32_t> RejectionTolerances::find(const base::ServiceName &service, base::Time now) const
{
    const auto it = m_services.find(service);
    const bool isLimited = it != m_services.end() && isValid(it->second, it->second.latest, now);
    return isLimited ? std::optional(it->second.latest->rejectionsPerSecond) : std::nullopt;
}

std::map<base::ServiceName, std::uint32_t> RejectionTolerances::all(base::Time now) const
{
    std::map<base::ServiceName, std::uint32_t> found;
    for (const auto &[name, service] : m_services) {
        if (isValid(service, service.latest, now)) {
            found.emplace(name, service.latest->rejectionsPerSecond);
        }
    }
    return found;
}

std::vector<RejectionTolerance> RejectionTolerances::ownStatements(base::Time now) const
{
    std::vector<RejectionTolerance> found;
    for (const auto &[name, service] : m_services) {
        if (isValid(service, service.own, now)) {
            found.push_back(*service.own);
        }
    }
    return found;
}

} // namespace turmericplank::routing
