#include "turmericplank/forwarding/waiting.hpp"

#include <algorithm>

namespace turmericplank::forwarding {

base::Duration longestWait(WaitCause cause, base::Duration objective, const WaitOptions &options)
{
    const auto share = std::chrono::duration_cast<base::Duration>(objective * options.fullShare);
    return cause == WaitCause::AdapterMissing ? std::max(options.adapterWait, share) : share;
}

base::Duration expectedRelief(WaitCause cause, bool isEngine, const WaitOptions &options)
{
    if (cause == WaitCause::ModelMissing) {
        return options.modelRelief;
    }
    return isEngine ? options.engineRelief : options.serviceRelief;
}

bool comesTooLate(base::Duration expectedFirst, base::Duration objective, const WaitOptions &options)
{
    return objective.count() > 0 && expectedFirst > std::chrono::duration_cast<base::Duration>(objective * options.abandonShare);
}

} // namespace turmericplank::forwarding
