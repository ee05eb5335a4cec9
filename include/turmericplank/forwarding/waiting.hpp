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
    double abandonShare = 12; ///< of the objective; callers give up after about half of it, but expected times are rough and mostly too long
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
base::Duration longestWait(WaitCause cause, base::Duration objective, const WaitOptions &options);

/// @brief When the cause is expected to be over.
/// @param cause why the call is refused
/// @param isEngine whether model engines run it, not a plain service
/// @param options bounds
base::Duration expectedRelief(WaitCause cause, bool isEngine, const WaitOptions &options);

/// @brief Whether a call had better be turned away than queued at its best endpoint.
/// @param expectedFirst until its first event there
/// @param objective time within which that should come
/// @param options bounds
bool comesTooLate(base::Duration expectedFirst, base::Duration objective, const WaitOptions &options);

} // namespace turmericplank::forwarding
