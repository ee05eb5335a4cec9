#pragma once

#include <cstdint>

#include "platform/ratepacer.hpp"

namespace turmericplank::standins::platform {

/// @brief Speed of the weight store.
struct WeightStoreOptions
{
    double loadsPerSecond = 2.0; ///< loads that may start in a second
    std::uint32_t loadsAtFullSpeed = 6; ///< loads at once before each slows down
    double mebibytesPerSecond = 8192; ///< of one load at full speed
    std::uint32_t adapterLoadsInFlight = 50; ///< adapter loads at once before each slows down
    base::Duration adapterLoad = std::chrono::milliseconds(6); ///< time of one adapter load below that
};

/// @brief Decides how long each load of weights takes.
class WeightStore
{
public:
    /// @param options speed of the store
    explicit WeightStore(WeightStoreOptions options);

    /// @brief Starts a load of a model; finish() ends it.
    /// @param mebibytes size of the weights
    /// @param now the present
    /// @return when it is done
    base::Time startModelLoad(std::uint32_t mebibytes, base::Time now);
    /// @brief Ends a load of a model.
    void finishModelLoad();

    /// @brief Starts a load of an adapter; finishAdapterLoad() ends it.
    /// @param now the present
    /// @return when it is done
    base::Time startAdapterLoad(base::Time now);
    /// @brief Ends a load of an adapter.
    void finishAdapterLoad();

private:
    WeightStoreOptions m_options;
    RatePacer m_pacer;
    std::uint32_t m_modelLoads = 0;
    std::uint32_t m_adapterLoads = 0;
};

} // namespace turmericplank::standins::platform
