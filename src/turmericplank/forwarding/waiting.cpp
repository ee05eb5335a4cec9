#include "turmericplank/forwarding/waiting.hpp"

#include <algorithm>

namespace turmericplank::forwarding {

base::Duration maxWait(WaitCause cause, base::Duration objective, const WaitOptions &options)
{
    const auto share = std::chrono::duration_cast<base::Duration>(objective * options.fullShare);
    return cause == WaitCause::AdapterMissing ? std::max(options.adapterWait, share) : share;
}

base::Duration expectedRecovery(WaitCause cause, bool isEngine, const WaitOptions &options)
{
    if (cause == WaitCause::ModelMissing) {
        return options.modelRelief;
    }
    return isEngine ? options.engineRelief : options.serviceRelief;
}

base::Duration callerPatience(base::Duration objective, base::Duration gapObjective, const WaitOptions &options)
{
    const auto byObjective = std::chrono::duration_cast<base::Duration>(objective * options.objectivePatience);
    const auto byGap = std::chrono::duration_cast<base::Duration>(gapObjective * options.gapPatience);
    return std::max({options.leastPatience, byObjective, byGap});
}

bool exceedsPatience(base::Duration expectedFirst, base::Duration patience, const WaitOptions &options)
{
    return expectedFirst > std::chrono::duration_cast<base::Duration>(patience * options.patienceShare);
}

} // namespace turmericplank::forwarding
