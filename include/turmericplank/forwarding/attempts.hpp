#pragma once

#include <cstdint>
#include <string_view>

#include "turmericplank/base/time.hpp"
#include "turmericplank/routes/callkind.hpp"

namespace turmericplank::forwarding {

/// @brief How one send of a call to an endpoint ended without the answer that its caller waits for.
enum class SendResult {
    NotSent, ///< no byte of the call left this daemon
    Misdirected, ///< another instance or other weights are there; the call was not run
    Refused, ///< the endpoint says that it did not run the call
    Failed, ///< the endpoint ran the call and answers with a failure of its own
    Lost, ///< the connection ended or carried something else; the call may have run
    Silent, ///< nothing came in time; the call may have run
};

/// @brief The word of an end in logs.
std::string_view toString(SendResult end);

/// @brief What happens to a call after a send.
enum class NextStep {
    SendAgain,
    RelayFailure, ///< the endpoint's own failure is the answer
    RefuseNotRun, ///< answer that it has not run and never will
    FailUnknown, ///< answer that it may have run
    FailTimedOut, ///< the same, and its time is over
};

/// @brief The word of a step in logs.
std::string_view toString(NextStep step);

/// @brief The sends of one call: decides after each whether another may follow, and what may be claimed otherwise.
///
/// "Not run" is claimed only if every send ended with a proof of it. A call that may not run twice is sent again only
/// after such a proof.
class Attempts
{
public:
    /// @param kind what may be done with the call
    /// @param sendLimit endpoints that may be asked to run it
    /// @param deadline for the final answer
    Attempts(routes::CallKind kind, std::uint32_t sendLimit, base::Time deadline);

    /// @brief A send has begun.
    void recordSend();

    /// @brief A send has ended without the answer.
    /// @param end how
    /// @param now present time
    /// @param isRetryAllowed whether the retry budget has room; asked for all but unsent calls
    NextStep afterSend(SendResult end, base::Time now, bool isRetryAllowed);

    /// @brief Whether the number of endpoints leaves room for another send after one that may have run.
    bool maySendAgain() const;

    /// @brief What to answer when the call is given up now.
    /// @param now present time
    NextStep finalStep(base::Time now) const;

    /// @brief Whether some send may have run the call.
    bool mayHaveRun() const;

    /// @brief Sends that began so far.
    std::uint32_t sends() const;

    /// @brief When the final answer is due.
    base::Time deadline() const;

private:
    routes::CallKind m_kind;
    std::uint32_t m_sendLimit;
    base::Time m_deadline;
    std::uint32_t m_sends = 0;
    std::uint32_t m_received = 0; ///< sends that an endpoint of the right instance may have read
    bool m_mayHaveRun = false;
};

} // namespace turmericplank::forwarding
