#include "turmericplank/forwarding/waiting.hpp"

#include <algorithm>

namespace turmericplank::forwarding {

base::Duration maxWait(WaitCause cause, base::Duration objective, const WaitOptions &options)
{
    const auto share = std::chrono::duration_cast<base::Duration>(objective * options.maxWaitShare);
    return cause == WaitCause::AdapterMissing ? std::max(options.adapterWait, share) : share;
}

base::Duration expectedRecovery(WaitCause cause, bool isEngine, const WaitOptions &options)
{
    if (cause == WaitCause::ModelMissing) {
        return options.modelRecovery;
    }
    return isEngine ? options.engineRecovery : options.serviceRecovery;
}

base::Duration callerPatience(base::Duration objective, base::Duration gapObjective, const WaitOptions &options)
{
    const auto byObjective = std::chrono::duration_cast<base::Duration>(objective * options.patienceInObjectives);
    const auto byGap = std::chrono::duration_cast<base::Duration>(gapObjective * options.patienceInGaps);
    return std::max({options.minPatience, byObjective, byGap});
}

bool exceedsPatience(base::Duration expectedFirst, base::Duration patience, const WaitOptions &options)
{
    return expectedFirst > std::chrono::duration_cast<base::Duration>(patience * options.patienceShare);
}

} // namespace turmericplank::forwarding
