#pragma once

#include "turmericplank/base/outcome.hpp"

namespace turmericplank::requests {

/// @brief Result of one attempt at an endpoint.
enum class AttemptResult {
    NotSent, ///< no byte of the request was handed to a connection
    Refused, ///< the endpoint refused the request without running it
    Answered, ///< the complete answer was received
    Lost, ///< the connection broke after bytes were sent
    Silent, ///< timed out
    Malformed, ///< the answer violates the protocol
};

/// @brief Whether an attempt with this result may have run at the endpoint.
/// @param result result of the attempt
constexpr bool mayHaveRun(AttemptResult result)
{
    return result != AttemptResult::NotSent && result != AttemptResult::Refused;
}

/// @brief Derives the outcome of a request from the results of all its attempts.
///
/// The outcome is not_run only while no attempt is open and no attempt may have run.
class OutcomeRecord
{
public:
    /// @brief Records that an attempt is about to be sent.
    void begin();
    /// @brief Records the end of an attempt.
    /// @param result result of the attempt
    void finish(AttemptResult result);
    /// @brief Outcome that the caller may be told now.
    base::Outcome outcome() const;

    friend bool operator==(const OutcomeRecord &, const OutcomeRecord &) = default;

private:
    int m_openAttempts = 0;
    bool m_mayHaveRun = false;
};

} // namespace turmericplank::requests
