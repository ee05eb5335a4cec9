#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "turmericplank/base/time.hpp"

namespace turmericplank::requests {

/// @brief Limits of the retries.
struct RetryBudgetOptions
{
    double retryRatio = 0.1; ///< retries per success in the window
    double reserve = 2; ///< retries per window without any success, so that an idle daemon may retry
};

/// @brief Limits retries to a share of the recent successes, so that a fault cannot multiply the load.
class RetryBudget
{
public:
    /// @param options ratio and reserve
    explicit RetryBudget(RetryBudgetOptions options = {});

    /// @brief Sets the reserve, for example when the number of daemons that share a reserve changes.
    void setReserve(double reserve);

    /// @brief Records a request that was answered.
    /// @param now current time
    void succeeded(base::Time now);
    /// @brief Whether a retry would be allowed; charges nothing.
    bool hasRoom(base::Time now);
    /// @brief Charges one retry if the budget allows it.
    /// @param now current time
    /// @return whether the retry may be made
    bool tryRetry(base::Time now);
    /// @brief Time at which the oldest retry leaves the window, at least 100 ms from now.
    /// @param now current time
    base::Time retryAt(base::Time now) const;

private:
    static constexpr std::size_t SlotCount = 10; ///< length of the window in seconds

    struct Slot
    {
        std::int64_t startSecond = -1;
        std::uint32_t successes = 0;
        std::uint32_t retries = 0;
    };

    Slot &slot(base::Time now);

    RetryBudgetOptions m_options;
    std::array<Slot, SlotCount> m_slots;
};

} // namespace turmericplank::requests
