#include "turmericplank/routing/workselector.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::routing {

namespace {

constexpr double TokensPerStream = 500; ///< prompt tokens that count as much as one stream
constexpr double ScorePerSecond = 0.2; ///< added for each second since the work was last sent
constexpr double MinScore = 0.5; ///< work with a lower score is not sent

double difference(std::uint32_t a, std::uint32_t b)
{
    return std::abs(static_cast<double>(a) - static_cast<double>(b));
}

double change(const EndpointWork &a, const EndpointWork &b)
{
    const double tokens = difference(a.urgentTokens, b.urgentTokens) + difference(a.otherTokens, b.otherTokens);
    return difference(a.streams, b.streams) + difference(a.urgentWaiting, b.urgentWaiting) + difference(a.otherWaiting, b.otherWaiting)
        + tokens / TokensPerStream;
}

} // namespace

std::vector<EndpointWork> WorkSelector::select(const std::vector<EndpointWork> &own, std::size_t limit, base::Time now)
{
    std::map<base::EndpointId, EndpointWork> current;
    for (const auto &[endpoint, announced] : m_announced) {
        current[endpoint].endpoint = endpoint;
    }
    for (const auto &it : own) {
        current[it.endpoint] = it;
    }
    std::vector<std::pair<double, EndpointWork>> scored;
    for (const auto &[endpoint, work] : current) {
        const auto announced = m_announced.find(endpoint);
        const bool isNew = announced == m_announced.end();
        const double age = isNew ? 0 : std::chrono::duration<double>(now - announced->second.at).count() * ScorePerSecond;
        const double score = change(work, isNew ? EndpointWork() : announced->second.work) + age;
        if (score >= MinScore) {
            scored.emplace_back(score, work);
        }
    }
    std::ranges::sort(scored, [](const auto &a, const auto &b) { return a.first > b.first; });
    scored.resize(std::min(scored.size(), limit));
    std::vector<EndpointWork> selected;
    for (const auto &[score, work] : scored) {
        selected.push_back(work);
        auto &announced = m_announced[work.endpoint];
        // The end of work is sent twice, in case the first heartbeat is lost.
        const bool isEndRepeated = work.streams == 0 && announced.work.streams == 0;
        announced = {work, now};
        if (isEndRepeated) {
            m_announced.erase(work.endpoint);
        }
    }
    return selected;
}

} // namespace turmericplank::routing
