#include "turmericplank/requests/servicebalancer.hpp"

#include <algorithm>
#include <tuple>

namespace turmericplank::requests {

namespace {

constexpr auto DoubtAfterFailure = std::chrono::seconds(2);

} // namespace

std::optional<EndpointChoice> ServiceBalancer::choose(const std::vector<EndpointChoice> &instances, const ChoiceQuery &query, base::Time now)
{
    const EndpointChoice *best = nullptr;
    std::tuple<bool, std::uint32_t, std::uint64_t> bestRank;
    for (const auto &it : instances) {
        if (std::find(query.avoid.begin(), query.avoid.end(), it.endpoint) != query.avoid.end()) {
            continue;
        }
        const auto &state = m_states[it.endpoint];
        const std::tuple rank(now < state.doubtfulUntil, state.running, state.lastChosen);
        if (best == nullptr || rank < bestRank) {
            best = &it;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    m_states[best->endpoint].lastChosen = ++m_choices;
    return *best;
}

void ServiceBalancer::sent(const base::EndpointId &instance)
{
    ++m_states[instance].running;
}

void ServiceBalancer::ended(const base::EndpointId &instance, AttemptResult end, base::Time now)
{
    cancelled(instance);
    if (end != AttemptResult::Answered) {
        m_states[instance].doubtfulUntil = now + DoubtAfterFailure;
    }
}

void ServiceBalancer::cancelled(const base::EndpointId &instance)
{
    auto &running = m_states[instance].running;
    running -= running > 0 ? 1 : 0;
}

} // namespace turmericplank::requests
