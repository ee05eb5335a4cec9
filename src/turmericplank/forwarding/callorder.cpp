#include "turmericplank/forwarding/callorder.hpp"

#include <algorithm>

namespace turmericplank::forwarding {

namespace {

constexpr double ObjectivePart = 0.6; ///< that the expected time may take, since it is a mean and actual waits are up to twice as long
constexpr std::size_t Urgencies = 10; ///< that engines tell apart

} // namespace

CallPlace placeOf(const std::vector<std::uint32_t> &priorities, std::uint32_t priority)
{
    if (priorities.empty()) {
        return {};
    }
    const auto before = static_cast<std::size_t>(std::ranges::lower_bound(priorities, priority) - priorities.begin());
    return {std::min(before, priorities.size() - 1), priorities.size()};
}

std::optional<CallPlace> callPlace(const std::vector<std::uint32_t> &priorities, std::uint32_t priority)
{
    return priorities.size() < MinOrderedPriorities ? std::nullopt : std::optional(placeOf(priorities, priority));
}

bool mustNotQueue(const CallPlace &place, const EndpointLoad &load, base::Duration objective)
{
    const double waiting = load.streams - load.concurrency;
    if (waiting < 0) {
        return false;
    }
    const auto part = static_cast<double>(place.levels - place.level) / static_cast<double>(place.levels);
    const bool hasObjective = objective > base::Duration(0);
    return (hasObjective && load.expectedFirst > std::chrono::duration_cast<base::Duration>(objective * ObjectivePart)) || waiting >= part * load.concurrency;
}

std::uint32_t urgency(const CallPlace &account, const CallPlace &place, bool isDeferrable)
{
    if (account.levels == 1) {
        return static_cast<std::uint32_t>(std::min(2 * place.level + (isDeferrable ? 1 : 0), Urgencies - 1));
    }
    const auto perAccountLevel = std::max<std::size_t>(1, Urgencies / account.levels);
    return static_cast<std::uint32_t>(std::min(account.level * perAccountLevel + std::min(place.level, perAccountLevel - 1), Urgencies - 1));
}

} // namespace turmericplank::forwarding
