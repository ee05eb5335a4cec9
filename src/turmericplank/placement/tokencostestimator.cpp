#include "turmericplank/placement/tokencostestimator.hpp"

#include <algorithm>

namespace turmericplank::placement {

TokenCostEstimator::TokenCostEstimator(TokenCostOptions options)
    : m_options(options)
{
}

void TokenCostEstimator::recordStream(const base::ModelName &model, base::Duration gap, base::Time now)
{
    auto &it = m_models[model];
    if (now >= it.currentUntil) {
        it.before = it.current;
        it.current = {};
        it.currentUntil = now + m_options.window;
    }
    it.current.least = it.current.streams == 0 ? gap : std::min(it.current.least, gap);
    ++it.current.streams;
}

base::Duration TokenCostEstimator::leastGap(const Model &model) const
{
    if (model.current.streams + model.before.streams < m_options.leastStreams) {
        return {};
    }
    if (model.current.streams == 0 || model.before.streams == 0) {
        return std::max(model.current.least, model.before.least);
    }
    return std::min(model.current.least, model.before.least);
}

double TokenCostEstimator::relativeCost(const base::ModelName &model) const
{
    const auto found = m_models.find(model);
    const auto own = found == m_models.end() ? base::Duration() : leastGap(found->second);
    if (own.count() <= 0) {
        return 1;
    }
    auto slowest = own;
    for (const auto &[name, it] : m_models) {
        slowest = std::max(slowest, leastGap(it));
    }
    return std::max(m_options.leastPace, static_cast<double>(own.count()) / static_cast<double>(slowest.count()));
}

} // namespace turmericplank::placement
