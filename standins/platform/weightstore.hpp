#pragma once

#include <cstdint>

#include "platform/ratepacer.hpp"

namespace turmericplank::standins::platform {

/// @brief Throughput of the weight store.
struct WeightStoreOptions
{
    double loadsPerSecond = 2.0; ///< maximum number of model loads that start per second
    std::uint32_t loadsAtFullSpeed = 6; ///< number of concurrent model loads above which each slows down
    double mebibytesPerSecond = 8192; ///< speed of a model load that is not slowed down
    std::uint32_t adapterLoadsInFlight = 50; ///< number of concurrent adapter loads above which each slows down
    base::Duration adapterLoad = std::chrono::milliseconds(6); ///< duration of an adapter load that is not slowed down
};

/// @brief Computes how long each load of weights takes.
class WeightStore
{
public:
    explicit WeightStore(WeightStoreOptions options);

    /// @brief Starts a model load; finishModelLoad() ends it.
    /// @param mebibytes size of the weights
    /// @return time at which the load is finished
    base::Time startModelLoad(std::uint32_t mebibytes, base::Time now);
    /// @brief Ends a model load.
    void finishModelLoad();

    /// @brief Starts an adapter load; finishAdapterLoad() ends it.
    /// @return time at which the load is finished
    base::Time startAdapterLoad(base::Time now);
    /// @brief Ends an adapter load.
    void finishAdapterLoad();

private:
    WeightStoreOptions m_options;
    RatePacer m_pacer;
    std::uint32_t m_modelLoads = 0;
    std::uint32_t m_adapterLoads = 0;
};

} // namespace turmericplank::standins::platform
