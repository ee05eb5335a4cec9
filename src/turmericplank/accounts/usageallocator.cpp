#include "turmericplank/accounts/usageallocator.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::accounts {

namespace {

constexpr double FullLevelPart = 0.75; ///< of the burst; all calls are admitted while the bucket holds more

double inSeconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// What a daemon has counted since its last report. The counters of a process that has started again begin at zero, which the requested units
/// show; the admitted ones fall as well when a call that never ran is given back.
AccountUse increase(const AccountUse &before, const AccountUse &after)
{
    if (after.requested < before.requested) {
        return after;
    }
    return {after.account, after.requested - before.requested, after.admitted - before.admitted};
}

} // namespace

UsageAllocator::UsageAllocator(UsageAllocatorOptions options)
    : m_options(options)
{
}

void UsageAllocator::setAccounts(const std::vector<Account> &accounts, base::Time now)
{
    std::map<base::CallerName, State> states;
    for (const auto &it : accounts) {
        if (!it.limit.isLimited() || states.contains(it.name)) {
            continue;
        }
        State state;
        state.levelAt = now;
        if (const auto known = m_states.find(it.name); known != m_states.end()) {
            refill(known->second, now);
            state = known->second;
            state.level = std::min(state.level, it.limit.burst);
            if (it.limit.perSecond < state.limit.perSecond) {
                emptyBucket(state, now + m_options.changeTime);
            }
        }
        state.limit = it.limit;
        states.emplace(it.name, state);
    }
    m_states = std::move(states);
    for (auto &[id, daemon] : m_daemons) {
        std::erase_if(daemon.demands, [this](const auto &it) { return !m_states.contains(it.first); });
    }
}

void UsageAllocator::setDaemonCount(std::size_t count)
{
    m_daemonCount = std::max<std::size_t>(1, count);
}

void UsageAllocator::reset(base::Time now)
{
    m_daemons.clear();
    m_resetAt = now;
    for (auto &[name, state] : m_states) {
        emptyBucket(state, now + m_options.settleTime);
    }
}

bool UsageAllocator::isSettled(base::Time now) const
{
    return m_resetAt && now >= *m_resetAt + m_options.settleTime;
}

/// Follows a rise at once, since a caller that comes to a daemon sends several calls before a longer average shows it.
double UsageAllocator::demandOf(const Demand &demand)
{
    return std::max(demand.perSecond, demand.recentPerSecond);
}

bool UsageAllocator::isHeard(const Daemon &daemon, base::Time now) const
{
    return now < daemon.heardAt + m_options.reportLifetime;
}

/// Neither refills nor charges the bucket until then, because the use that daemons report does not yet fit the limit.
void UsageAllocator::emptyBucket(State &state, base::Time until)
{
    state.level = 0;
    state.levelAt = until;
    state.chargedFrom = until;
}

void UsageAllocator::refill(State &state, base::Time now) const
{
    const auto elapsed = std::max(base::Duration(0), now - state.levelAt);
    state.level = std::min(state.limit.burst, state.level + state.limit.perSecond * std::max(0.0, 1 - state.reserved) * inSeconds(elapsed));
    state.levelAt = std::max(state.levelAt, now);
}

void UsageAllocator::noteReport(const base::DaemonId &from, const std::vector<AccountUse> &uses, base::Time now)
{
    const auto [position, isNew] = m_daemons.try_emplace(from);
    auto &daemon = position->second;
    const bool wasHeard = !isNew && isHeard(daemon, now);
    const auto elapsed = isNew ? 0 : inSeconds(now - daemon.heardAt);
    const auto weight = [elapsed](base::Duration time) {
        return 1 - std::exp(-elapsed / inSeconds(time));
    };
    std::map<base::CallerName, Demand> demands;
    for (const auto &it : uses) {
        const auto state = m_states.find(it.account);
        if (state == m_states.end()) {
            continue;
        }
        const auto known = daemon.demands.find(it.account);
        Demand demand;
        if (known != daemon.demands.end()) {
            demand = known->second;
        }
        // The counters of a daemon that is new to this allocator may cover any time.
        if (!isNew && elapsed > 0) {
            const auto use = increase(demand.reported, it);
            demand.perSecond += (use.requested / elapsed - demand.perSecond) * weight(m_options.demandTime);
            demand.recentPerSecond += (use.requested / elapsed - demand.recentPerSecond) * weight(m_options.totalTime);
            // What an unheard daemon was expected to use has already been left out of the shares of others.
            const auto expected = wasHeard ? 0 : reservedShare(daemon, it.account, now) * state->second.limit.perSecond * elapsed;
            charge(state->second, wasHeard ? use.admitted : std::max(0.0, use.admitted - expected), now);
        }
        demand.reported = it;
        demands.emplace(it.account, demand);
    }
    daemon.demands = std::move(demands);
    daemon.heardAt = now;
}

/// Use beyond a few seconds of the limit is not remembered: one call may state any number of tokens.
void UsageAllocator::charge(State &state, double units, base::Time now) const
{
    refill(state, now);
    if (now >= state.chargedFrom) {
        const auto lowest = -(state.limit.burst + state.limit.perSecond * inSeconds(m_options.maxDebtTime));
        state.level = std::clamp(state.level - units, lowest, state.limit.burst);
    }
}

double UsageAllocator::reservedShare(const Daemon &daemon, const base::CallerName &account, base::Time now) const
{
    const auto even = 1 / static_cast<double>(m_daemonCount);
    if (now >= daemon.heardAt + m_options.shareLifetime) {
        return even;
    }
    const auto demand = daemon.demands.find(account);
    return demand == daemon.demands.end() ? EvenPart * even : demand->second.share;
}

void UsageAllocator::sumDemand(base::Time now)
{
    if (m_summedAt && now < *m_summedAt + m_options.sumInterval) {
        return;
    }
    m_summedAt = now;
    std::erase_if(m_daemons, [&](const auto &it) { return now >= it.second.heardAt + m_options.removalTime; });
    const auto even = 1 / static_cast<double>(m_daemonCount);
    // Daemons that were never heard count with an even share.
    double reserved = even * static_cast<double>(m_daemonCount - std::min(m_daemonCount, m_daemons.size()));
    for (const auto &[id, daemon] : m_daemons) {
        reserved += isHeard(daemon, now) ? 0 : reservedShare(daemon, {}, now);
    }
    for (auto &[account, state] : m_states) {
        state.demand = 0;
        state.recentDemand = 0;
        state.reserved = reserved;
    }
    for (const auto &[id, daemon] : m_daemons) {
        const bool isCounted = isHeard(daemon, now);
        for (const auto &[account, demand] : daemon.demands) {
            auto &state = m_states.at(account);
            if (isCounted) {
                state.demand += demandOf(demand);
                state.recentDemand += demand.recentPerSecond;
            } else {
                state.reserved += reservedShare(daemon, account, now) - reservedShare(daemon, {}, now);
            }
        }
    }
    m_overLimit.clear();
    for (const auto &[account, state] : m_states) {
        if (state.recentDemand > state.limit.perSecond) {
            m_overLimit.push_back(account);
        }
    }
}

UsageGrant UsageAllocator::grant(const base::CallerName &account, double demand, State &state, base::Time now) const
{
    refill(state, now);
    const auto even = 1 / static_cast<double>(m_daemonCount);
    const auto available = std::max(0.0, 1 - state.reserved);
    const auto byDemand = state.demand > 0 ? std::min(1.0, demand / state.demand) : even;
    const auto target = std::max(0.0, state.limit.perSecond * available + state.level / inSeconds(m_options.payBackTime));
    const bool isWithinLimit = state.recentDemand <= target || state.level > state.limit.burst * FullLevelPart;
    return {account, available * ((1 - EvenPart) * byDemand + EvenPart * even), isWithinLimit ? 1 : target / state.recentDemand};
}

std::vector<UsageGrant> UsageAllocator::grants(const base::DaemonId &daemon, base::Time now)
{
    sumDemand(now);
    std::vector<UsageGrant> grants;
    const auto own = m_daemons.find(daemon);
    if (own == m_daemons.end()) {
        return grants;
    }
    auto &demands = own->second.demands;
    for (auto &[account, demand] : demands) {
        grants.push_back(grant(account, demandOf(demand), m_states.at(account), now));
        demand.share = grants.back().share;
    }
    for (const auto &account : m_overLimit) {
        const auto state = m_states.find(account);
        if (state == m_states.end() || demands.contains(account)) {
            continue;
        }
        if (auto it = grant(account, 0, state->second, now); it.admittedFraction < 1) {
            grants.push_back(std::move(it));
        }
    }
    return grants;
}

} // namespace turmericplank::accounts
