#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "turmericplank/base/time.hpp"

namespace turmericplank::standins::siteendpoint {

/// @brief Room of an endpoint that fails when it rejects too many calls.
struct LimitedRoomOptions
{
    std::uint32_t slots = 4; ///< calls that run at the same time
    std::uint32_t maxWaiting = 0; ///< calls that wait for a slot
    std::uint32_t tolerance = 2; ///< rejections per second without a failure
    base::Time limitedFrom; ///< before that, any number of calls may wait
    base::Duration downTime = std::chrono::seconds(2); ///< after a failure
};

/// @brief What happens to a call that arrives.
enum class Admission {
    Run,
    Wait,
    Reject,
    Fail, ///< the endpoint fails and loses all its calls
    Down, ///< the endpoint has failed and is not back yet
};

/// @brief Decides which calls run, wait or are rejected, and when the endpoint fails.
class LimitedRoom
{
public:
    explicit LimitedRoom(const LimitedRoomOptions &options);

    /// @brief A call has arrived.
    Admission admit(base::Time now);

    /// @brief A call that ran has ended.
    /// @return whether one of those that wait runs now
    bool finish();

    std::size_t rejected = 0;
    std::size_t failures = 0;

private:
    LimitedRoomOptions m_options;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    std::deque<base::Time> m_rejections; ///< of the last second
    base::Time m_downUntil;
};

} // namespace turmericplank::standins::siteendpoint
