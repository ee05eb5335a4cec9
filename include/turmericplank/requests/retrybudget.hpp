#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "turmericplank/base/time.hpp"

namespace turmericplank::requests {

/// @brief How many retries are allowed.
struct RetryBudgetOptions
{
    double share = 0.1; ///< retries per recent success
    double reserve = 2; ///< retries per window that need no success, so that an idle daemon may retry
};

/// @brief Bounds retries to a share of recent successes, so that a fault cannot multiply the load.
class RetryBudget
{
public:
    /// @param options share and reserve
    explicit RetryBudget(RetryBudgetOptions options = {});

    /// @brief Changes the reserve, for example when the number of daemons that share one has changed.
    void setReserve(double reserve);

    /// @brief A request was answered.
    /// @param now the present
    void succeeded(base::Time now);
    /// @brief Whether a retry would be allowed; nothing is charged.
    bool hasRoom(base::Time now);
    /// @brief Asks for one retry.
    /// @param now the present
    /// @return whether it may be made; it is then charged
    bool tryRetry(base::Time now);
    /// @brief When the oldest charge leaves the window.
    /// @param now the present
    base::Time retryAt(base::Time now) const;

private:
    static constexpr std::size_t SlotCount = 10;

    struct Slot
    {
        std::int64_t second = -1;
        std::uint32_t successes = 0;
        std::uint32_t retries = 0;
    };

    Slot &slot(base::Time now);

    RetryBudgetOptions m_options;
    std::array<Slot, SlotCount> m_slots;
};

} // namespace turmericplank::requests
