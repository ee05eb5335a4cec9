#include "platform/weightstore.hpp"

#include <algorithm>

namespace turmericplank::standins::platform {

namespace {

base::Duration slowedDuration(base::Duration fullSpeed, std::uint32_t concurrentLoads, std::uint32_t fullSpeedLimit)
{
    const double factor = std::max(1.0, static_cast<double>(concurrentLoads) / std::max(fullSpeedLimit, 1U));
    return base::Duration(static_cast<std::int64_t>(static_cast<double>(fullSpeed.count()) * factor));
}

} // namespace

WeightStore::WeightStore(WeightStoreOptions options)
    : m_options(options)
    , m_pacer(options.loadsPerSecond)
{
}

base::Time WeightStore::startModelLoad(std::uint32_t mebibytes, base::Time now)
{
    ++m_modelLoads;
    const std::chrono::duration<double> seconds(mebibytes / m_options.mebibytesPerSecond);
    const auto fullSpeed = std::chrono::duration_cast<base::Duration>(seconds);
    return m_pacer.reserve(now) + slowedDuration(fullSpeed, m_modelLoads, m_options.loadsAtFullSpeed);
}

void WeightStore::finishModelLoad()
{
    --m_modelLoads;
}

base::Time WeightStore::startAdapterLoad(base::Time now)
{
    ++m_adapterLoads;
    return now + slowedDuration(m_options.adapterLoad, m_adapterLoads, m_options.adapterLoadsInFlight);
}

void WeightStore::finishAdapterLoad()
{
    --m_adapterLoads;
}

} // namespace turmericplank::standins::platform
