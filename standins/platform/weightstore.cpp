#include "platform/weightstore.hpp"

#include <algorithm>

namespace turmericplank::standins::platform {

namespace {

base::Duration slowed(base::Duration fullSpeed, std::uint32_t atOnce, std::uint32_t width)
{
    const double factor = std::max(1.0, static_cast<double>(atOnce) / std::max(width, 1U));
    return base::Duration(static_cast<std::int64_t>(static_cast<double>(fullSpeed.count()) * factor));
}

} // namespace

WeightStore::WeightStore(WeightStoreOptions options)
    : m_options(options)
    , m_gate(options.loadsPerSecond)
{
}

base::Time WeightStore::startModel(std::uint32_t mebibytes, base::Time now)
{
    ++m_models;
    const std::chrono::duration<double> seconds(mebibytes / m_options.mebibytesPerSecond);
    const auto fullSpeed = std::chrono::duration_cast<base::Duration>(seconds);
    return m_gate.take(now) + slowed(fullSpeed, m_models, m_options.loadsAtFullSpeed);
}

void WeightStore::finishModel()
{
    --m_models;
}

base::Time WeightStore::startAdapter(base::Time now)
{
    ++m_adapters;
    return now + slowed(m_options.adapterLoad, m_adapters, m_options.adapterLoadsInFlight);
}

void WeightStore::finishAdapter()
{
    --m_adapters;
}

} // namespace turmericplank::standins::platform
