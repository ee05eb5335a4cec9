#include "loadplan.hpp"

namespace turmericplank::cli {

namespace {

std::vector<double> weights(const std::vector<ModelShare> &models)
{
    std::vector<double> list;
    for (const auto &it : models) {
        list.push_back(it.weight);
    }
    return list;
}

} // namespace

LoadPlan::LoadPlan(LoadPlanOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    const auto list = weights(m_options.models);
    m_models = std::discrete_distribution<std::size_t>(list.begin(), list.end());
}

bool LoadPlan::draw(double share)
{
    return std::uniform_real_distribution<>()(m_random) < share;
}

PlannedCall LoadPlan::next()
{
    const std::chrono::duration<double> gap(std::exponential_distribution<>(m_options.callsPerSecond)(m_random));
    m_offset += std::chrono::duration_cast<base::Duration>(gap);
    PlannedCall call;
    call.startOffset = m_offset;
    call.id = "load-" + std::to_string(m_options.seed) + '-' + std::to_string(++m_count);
    call.question = "question " + std::to_string(m_random());
    const double kind = std::uniform_real_distribution<>()(m_random);
    if (kind < m_options.bookingShare) {
        call.kind = CallKind::Booking;
        call.isDuplicated = draw(m_options.duplicateShare);
    } else if (kind < m_options.bookingShare + m_options.lookupShare || m_options.models.empty()) {
        call.kind = CallKind::Lookup;
    } else {
        drawChat(call);
    }
    return call;
}

void LoadPlan::drawChat(PlannedCall &call)
{
    call.model = m_options.models[m_models(m_random)].model;
    call.tokens = std::uniform_int_distribution<std::uint32_t>(m_options.minTokens, m_options.maxTokens)(m_random);
    const double priority = std::uniform_real_distribution<>()(m_random);
    if (priority < m_options.urgentShare) {
        call.priority = base::Priority::Urgent;
    } else if (priority < m_options.urgentShare + m_options.bulkShare) {
        call.priority = base::Priority::Bulk;
    }
}

} // namespace turmericplank::cli
