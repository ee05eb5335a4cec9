#pragma once

#include <cstdint>
#include <string_view>

#include "turmericplank/base/time.hpp"
#include "turmericplank/routes/callkind.hpp"

namespace turmericplank::forwarding {

/// @brief Result of one send that did not bring the caller's answer.
enum class SendResult {
    NotSent, ///< no byte of the call left this daemon
    Misdirected, ///< another instance or other weights were found there; the call was not run
    Refused, ///< the endpoint reports that it did not run the call
    Failed, ///< the endpoint ran the call and returned an error of its own
    Lost, ///< the connection closed or carried an invalid answer; the call may have run
    Silent, ///< timed out; the call may have run
};

/// @brief Name of a result in logs.
std::string_view toString(SendResult result);

/// @brief What to do with a call after a send.
enum class NextStep {
    SendAgain,
    RelayFailure, ///< relay the endpoint's error to the caller
    RejectNotRun, ///< tell the caller that the call has not run and never will
    FailUnknown, ///< tell the caller that the call may have run
    FailTimedOut, ///< as FailUnknown, after the deadline
};

/// @brief Name of a step in logs.
std::string_view toString(NextStep step);

/// @brief Tracks the sends of one call and decides after each one whether to send again or what to tell the caller.
///
/// The caller is told "not run" only if every send proved that the call was not run. A call that must not run twice is
/// sent again only after such a proof.
class Attempts
{
public:
    /// @param kind whether the call may run again
    /// @param maxSends sends that may reach an endpoint
    /// @param deadline deadline of the final answer
    Attempts(routes::CallKind kind, std::uint32_t maxSends, base::Time deadline);

    /// @brief Records the start of a send.
    void recordSend();

    /// @brief Records the result of a send that did not bring the answer.
    /// @param result result of the send
    /// @param now current time
    /// @param isRetryAllowed whether the retry budget allows a retry; ignored if nothing was sent
    NextStep afterSend(SendResult result, base::Time now, bool isRetryAllowed);

    /// @brief Records the result of a send that did not bring the answer, while another send of the call is still open.
    void recordEnd(SendResult result);

    /// @brief Whether the call may be sent once more while one send has no result yet, and may have run it.
    /// @param now current time
    bool maySendAgain(base::Time now) const;

    /// @brief Returns the step that ends the call without another send.
    /// @param now current time
    NextStep finalStep(base::Time now) const;

    /// @brief Whether any send may have run the call.
    bool mayHaveRun() const;

    /// @brief Number of endpoints to which the call may still be sent.
    std::uint32_t sendsLeft() const;

    /// @brief Number of sends started so far.
    std::uint32_t sends() const;

    /// @brief Deadline of the final answer.
    base::Time deadline() const;

private:
    routes::CallKind m_kind;
    std::uint32_t m_maxSends;
    base::Time m_deadline;
    std::uint32_t m_sends = 0;
    std::uint32_t m_delivered = 0; ///< sends that the intended instance may have read
    bool m_mayHaveRun = false;
};

} // namespace turmericplank::forwarding
