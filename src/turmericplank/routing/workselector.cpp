#include "turmericplank/routing/workselector.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::routing {

namespace {

constexpr double TokensPerPoint = 500; ///< prompt tokens that weigh as one stream
constexpr double PointsPerSecond = 0.2; ///< weight of the time since something was told
constexpr double LeastScore = 0.5; ///< below it nothing is told

double difference(std::uint32_t a, std::uint32_t b)
{
    return std::abs(static_cast<double>(a) - static_cast<double>(b));
}

double change(const EndpointWork &a, const EndpointWork &b)
{
    const double tokens = difference(a.urgentTokens, b.urgentTokens) + difference(a.otherTokens, b.otherTokens);
    return difference(a.streams, b.streams) + difference(a.urgentWaiting, b.urgentWaiting) + difference(a.otherWaiting, b.otherWaiting)
        + tokens / TokensPerPoint;
}

} // namespace

std::vector<EndpointWork> WorkSelector::select(const std::vector<EndpointWork> &own, std::size_t limit, base::Time now)
{
    std::map<base::EndpointId, EndpointWork> present;
    for (const auto &[endpoint, told] : m_told) {
        present[endpoint].endpoint = endpoint;
    }
    for (const auto &it : own) {
        present[it.endpoint] = it;
    }
    std::vector<std::pair<double, EndpointWork>> scored;
    for (const auto &[endpoint, work] : present) {
        const auto told = m_told.find(endpoint);
        const bool isNew = told == m_told.end();
        const double age = isNew ? 0 : std::chrono::duration<double>(now - told->second.at).count() * PointsPerSecond;
        const double score = change(work, isNew ? EndpointWork() : told->second.work) + age;
        if (score >= LeastScore) {
            scored.emplace_back(score, work);
        }
    }
    std::ranges::sort(scored, [](const auto &a, const auto &b) { return a.first > b.first; });
    scored.resize(std::min(scored.size(), limit));
    std::vector<EndpointWork> picked;
    for (const auto &[score, work] : scored) {
        picked.push_back(work);
        auto &told = m_told[work.endpoint];
        // An end is told twice: when it happens and once more, in case the first was lost.
        const bool isOver = work.streams == 0 && told.work.streams == 0;
        told = {work, now};
        if (isOver) {
            m_told.erase(work.endpoint);
        }
    }
    return picked;
}

} // namespace turmericplank::routing
