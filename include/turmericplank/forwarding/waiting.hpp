#pragma once

#include "turmericplank/base/time.hpp"

namespace turmericplank::forwarding {

/// @brief Why a call cannot be sent now.
enum class WaitCause {
    Full, ///< every suitable endpoint has more work than it can start in time
    AdapterMissing, ///< the base model is resident, the adapter is not; it loads within a fraction of a second
    ModelMissing, ///< the model is resident on no engine; it loads within seconds
};

/// @brief Limits of the time that calls wait, and expected recovery times.
struct WaitOptions
{
    double maxWaitShare = 0.125; ///< share of the objective; a longer wait is wasted if the call is rejected after it
    base::Duration adapterWait = std::chrono::milliseconds(1200); ///< covers the order, the load and one round of notifications, with some retries
    double patienceShare = 0.8; ///< share of a caller's patience that the first event may take; below 1 since estimates are rough
    base::Duration minPatience = std::chrono::seconds(2); ///< callers of the users' platform accept any pause up to this
    double patienceInObjectives = 4; ///< accepted pause in multiples of the objective, if that is longer
    double patienceInGaps = 8; ///< accepted pause in multiples of the objective between two events, if that is longer
    base::Duration modelRecovery = std::chrono::milliseconds(2500); ///< a load from the weight store
    base::Duration engineRecovery = std::chrono::milliseconds(2000); ///< until more engines have loaded the requested model
    base::Duration serviceRecovery = std::chrono::milliseconds(150); ///< until a plain service has freed its slots a few times
};

/// @brief Longest time that a call may wait in the daemon.
///
/// If the demand for a model grows faster than engines can load it, calls that queue in the daemons are all late. Calls
/// that are rejected at once come back when there is capacity.
/// @param cause why the call waits
/// @param objective time within which the call should be answered
/// @param options limits
base::Duration maxWait(WaitCause cause, base::Duration objective, const WaitOptions &options);

/// @brief Expected time until the cause of a rejection is gone.
/// @param cause why the call is rejected
/// @param isEngine whether the call runs on model engines rather than a plain service
/// @param options recovery times
base::Duration expectedRecovery(WaitCause cause, bool isEngine, const WaitOptions &options);

/// @brief How long the caller of a stream waits without an event before it disconnects.
/// @param objective time within which the first event should come
/// @param gapObjective time within which each further event should come
/// @param options limits
base::Duration callerPatience(base::Duration objective, base::Duration gapObjective, const WaitOptions &options);

/// @brief Whether a call should be rejected, because its caller would probably disconnect before the first event.
/// @param expectedFirst expected time until the first event at the best endpoint
/// @param patience patience of the caller, at most the time until the call's deadline
/// @param options limits
bool exceedsPatience(base::Duration expectedFirst, base::Duration patience, const WaitOptions &options);

} // namespace turmericplank::forwarding
