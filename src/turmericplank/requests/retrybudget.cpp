#include "turmericplank/requests/retrybudget.hpp"

#include <algorithm>

namespace turmericplank::requests {

namespace {

std::int64_t wholeSeconds(base::Time time)
{
    return std::chrono::floor<std::chrono::seconds>(time).time_since_epoch().count();
}

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
{
}

RetryBudget::Slot &RetryBudget::slot(base::Time now)
{
    const auto startSecond = wholeSeconds(now);
    auto &it = m_slots[static_cast<std::size_t>(startSecond) % SlotCount];
    if (it.startSecond != startSecond) {
        it = Slot{startSecond, 0, 0};
    }
    return it;
}

void RetryBudget::setReserve(double reserve)
{
    m_options.reserve = reserve;
}

void RetryBudget::succeeded(base::Time now)
{
    ++slot(now).successes;
}

bool RetryBudget::hasRoom(base::Time now)
{
    const auto &current = slot(now);
    double successes = 0;
    double retries = 0;
    for (const auto &it : m_slots) {
        if (it.startSecond > current.startSecond - static_cast<std::int64_t>(SlotCount)) {
            successes += it.successes;
            retries += it.retries;
        }
    }
    return retries + 1 <= m_options.reserve + m_options.retryRatio * successes;
}

bool RetryBudget::tryRetry(base::Time now)
{
    if (!hasRoom(now)) {
        return false;
    }
    ++slot(now).retries;
    return true;
}

base::Time RetryBudget::retryAt(base::Time now) const
{
    auto oldest = wholeSeconds(now);
    for (const auto &it : m_slots) {
        if (it.retries > 0 && it.startSecond > wholeSeconds(now) - static_cast<std::int64_t>(SlotCount)) {
            oldest = std::min(oldest, it.startSecond);
        }
    }
    const auto expiry = base::Time(std::chrono::seconds(oldest + static_cast<std::int64_t>(SlotCount)));
    return std::max(expiry, now + std::chrono::milliseconds(100));
}

} // namespace turmericplank::requests
