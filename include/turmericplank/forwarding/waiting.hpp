#pragma once

#include "turmericplank/base/time.hpp"

namespace turmericplank::forwarding {

/// @brief Why a call cannot be sent now.
enum class WaitCause {
    Full, ///< every endpoint that could run it has more work than it can begin in time
    AdapterMissing, ///< its base model is there, its adapter is not: loaded within a fraction of a second
    ModelMissing, ///< no engine holds its model: loaded within seconds
};

/// @brief Bounds of waiting and of the advice to come back.
struct WaitOptions
{
    double fullShare = 0.125; ///< of the objective; a call that waits longer and is refused then has waited for nothing
    base::Duration adapterWait = std::chrono::milliseconds(1200); ///< an order, the load and a round of notices, with some retries
    double patienceShare = 0.8; ///< of a caller's patience that a first event may be expected to take; expected times are rough
    base::Duration leastPatience = std::chrono::seconds(2); ///< callers of the users' platform bear every pause up to this
    double objectivePatience = 4; ///< objectives that they bear, if that is longer
    double gapPatience = 8; ///< objectives between two events that they bear, if that is longer still
    base::Duration modelRelief = std::chrono::milliseconds(2500); ///< a load from the weight store
    base::Duration engineRelief = std::chrono::milliseconds(2000); ///< until other engines have loaded the model that is asked for
    base::Duration serviceRelief = std::chrono::milliseconds(150); ///< a few turns of the slots of a plain service
};

/// @brief How long a call may wait in the daemon.
///
/// Load pattern: the demand for a model multiplies faster than engines can load it. Calls that pile up in the daemons
/// would all be late; those that are turned away at once return when there is room.
/// @param cause why it waits
/// @param objective time within which it should be answered
/// @param options bounds
base::Duration maxWait(WaitCause cause, base::Duration objective, const WaitOptions &options);

/// @brief When the cause is expected to be over.
/// @param cause why the call is refused
/// @param isEngine whether model engines run it, not a plain service
/// @param options bounds
base::Duration expectedRecovery(WaitCause cause, bool isEngine, const WaitOptions &options);

/// @brief How long a stream's caller bears that nothing comes, before it leaves.
/// @param objective time within which the first event should come
/// @param gapObjective time within which each further event should come
/// @param options bounds
base::Duration callerPatience(base::Duration objective, base::Duration gapObjective, const WaitOptions &options);

/// @brief Whether a call had better be turned away than queued at its best endpoint: its caller would leave before its first event.
/// @param expectedFirst until its first event there
/// @param patience of its caller, and not longer than the time that it has left
/// @param options bounds
bool exceedsPatience(base::Duration expectedFirst, base::Duration patience, const WaitOptions &options);

} // namespace turmericplank::forwarding
