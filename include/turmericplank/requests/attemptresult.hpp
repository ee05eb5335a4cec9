#pragma once

#include "turmericplank/base/outcome.hpp"

namespace turmericplank::requests {

/// @brief How one attempt at an endpoint ended.
enum class AttemptResult {
    NotSent, ///< no byte of the request was handed to a connection
    Refused, ///< the endpoint refused it before running it
    Answered, ///< the whole answer came
    Lost, ///< the connection broke after bytes were sent
    Silent, ///< nothing came within the deadline
    Malformed, ///< the answer breaks the protocol
};

/// @brief Whether an attempt that ended this way can have run.
/// @param end how it ended
constexpr bool mayHaveRun(AttemptResult end)
{
    return end != AttemptResult::NotSent && end != AttemptResult::Refused;
}

/// @brief What is known of a request over all of its attempts.
///
/// It says not_run only while every attempt has ended and none of them can have run.
class OutcomeRecord
{
public:
    /// @brief An attempt is about to be sent.
    void begin();
    /// @brief An attempt has ended.
    /// @param end how
    void finish(AttemptResult end);
    /// @brief What the caller may be told now.
    base::Outcome outcome() const;

    friend bool operator==(const OutcomeRecord &, const OutcomeRecord &) = default;

private:
    int m_open = 0;
    bool m_mayHaveRun = false;
};

} // namespace turmericplank::requests
