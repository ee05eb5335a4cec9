#include "turmericplank/requests/servicebalancer.hpp"

#include <algorithm>
#include <tuple>

namespace turmericplank::requests {

namespace {

constexpr auto FailurePenalty = std::chrono::seconds(2);

} // namespace

std::optional<EndpointChoice> ServiceBalancer::choose(const std::vector<EndpointChoice> &instances, const ChoiceQuery &query, base::Time now)
{
    const EndpointChoice *best = nullptr;
    std::tuple<bool, std::uint32_t, std::uint64_t> bestRank;
    for (const auto &it : instances) {
        if (std::find(query.avoid.begin(), query.avoid.end(), it.endpoint) != query.avoid.end()) {
            continue;
        }
        const auto &state = m_instances[it.endpoint];
        const std::tuple rank(now < state.penalizedUntil, state.running, state.lastChosen);
        if (best == nullptr || rank < bestRank) {
            best = &it;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    m_instances[best->endpoint].lastChosen = ++m_choiceCount;
    return *best;
}

void ServiceBalancer::sent(const base::EndpointId &instance)
{
    ++m_instances[instance].running;
}

void ServiceBalancer::ended(const base::EndpointId &instance, AttemptResult result, base::Time now)
{
    cancelled(instance);
    if (result != AttemptResult::Answered) {
        m_instances[instance].penalizedUntil = now + FailurePenalty;
    }
}

void ServiceBalancer::cancelled(const base::EndpointId &instance)
{
    auto &running = m_instances[instance].running;
    running -= running > 0 ? 1 : 0;
}

} // namespace turmericplank::requests
