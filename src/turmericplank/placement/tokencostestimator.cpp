#include "turmericplank/placement/tokencostestimator.hpp"

#include <algorithm>

namespace turmericplank::placement {

TokenCostEstimator::TokenCostEstimator(TokenCostOptions options)
    : m_options(options)
{
}

void TokenCostEstimator::recordStream(const base::ModelName &model, base::Duration gap, base::Time now)
{
    auto &record = m_models[model];
    if (now >= record.currentUntil) {
        record.previous = record.current;
        record.current = {};
        record.currentUntil = now + m_options.window;
    }
    record.current.minGap = record.current.streams == 0 ? gap : std::min(record.current.minGap, gap);
    ++record.current.streams;
}

base::Duration TokenCostEstimator::minGap(const Model &model) const
{
    if (model.current.streams + model.previous.streams < m_options.minStreams) {
        return {};
    }
    if (model.current.streams == 0 || model.previous.streams == 0) {
        return std::max(model.current.minGap, model.previous.minGap);
    }
    return std::min(model.current.minGap, model.previous.minGap);
}

double TokenCostEstimator::relativeCost(const base::ModelName &model) const
{
    const auto found = m_models.find(model);
    const auto gap = found == m_models.end() ? base::Duration() : minGap(found->second);
    if (gap.count() <= 0) {
        return 1;
    }
    auto maxGap = gap;
    for (const auto &[name, record] : m_models) {
        maxGap = std::max(maxGap, minGap(record));
    }
    return std::max(m_options.minRelativeCost, static_cast<double>(gap.count()) / static_cast<double>(maxGap.count()));
}

} // namespace turmericplank::placement
