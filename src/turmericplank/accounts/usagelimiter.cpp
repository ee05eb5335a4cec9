#include "turmericplank/accounts/usagelimiter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericplank::accounts {

namespace {

constexpr double CostWeight = 0.1; ///< of a call in the mean cost
constexpr double SpareCalls = 3; ///< of mean cost, that a bucket holds beyond its share of the burst while grants are fresh
/// Of the chance that spends the bucket exactly. Below 1, since calls that are admitted by chance vary more than the bound on a window allows.
constexpr double ChanceFactor = 0.9;

double inSeconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

UsageLimiter::UsageLimiter(UsageLimiterOptions options)
    : m_options(options)
{
}

void UsageLimiter::setAccounts(const std::vector<Account> &accounts, base::Time now)
{
    std::unordered_map<base::CallerName, State> states;
    for (const auto &it : accounts) {
        if (!it.limit.isLimited() || states.contains(it.name)) {
            continue;
        }
        const auto known = m_states.find(it.name);
        State state;
        if (known != m_states.end()) {
            state = known->second;
            refill(state, now);
        }
        state.use.account = it.name;
        state.levelAt = now;
        if (state.limit != it.limit) {
            state.limit = it.limit;
            const auto depth = share(state, now) * it.limit.burst;
            state.level = known == m_states.end() ? depth : std::min(state.level, depth);
            state.extra = 0;
        }
        states.emplace(it.name, std::move(state));
    }
    m_states = std::move(states);
}

void UsageLimiter::setDaemonCount(std::size_t count)
{
    m_daemonCount = std::max<std::size_t>(1, count);
}

void UsageLimiter::applyGrants(const std::vector<UsageGrant> &grants, base::Time now)
{
    for (auto &[name, state] : m_states) {
        refill(state, now);
        state.share = EvenPart / static_cast<double>(m_daemonCount);
        state.admittedFraction = 1;
    }
    for (const auto &it : grants) {
        const auto state = m_states.find(it.account);
        if (state != m_states.end()) {
            state->second.share = std::clamp(it.share, 0.0, 1.0);
            state->second.admittedFraction = std::clamp(it.admittedFraction, 0.0, 1.0);
        }
    }
    // The allocator has charged to the account what this daemon admitted beyond its share, and found room for it. A caller that comes from
    // another daemon sends several calls before the share follows.
    for (auto &[name, state] : m_states) {
        if (state.admittedFraction == 1) {
            state.level = std::max(state.meanCost * SpareCalls, state.level);
        }
        state.extra = std::max(0.0, state.level - state.limit.burst * state.share);
    }
    m_grantedAt = now;
}

bool UsageLimiter::hasFreshGrants(base::Time now) const
{
    return m_grantedAt && now < *m_grantedAt + m_options.grantLifetime;
}

double UsageLimiter::share(const State &state, base::Time now) const
{
    const bool isKnown = m_grantedAt && now < *m_grantedAt + m_options.shareLifetime;
    return isKnown ? state.share : 1 / static_cast<double>(m_daemonCount);
}

double UsageLimiter::extraPerSecond(const State &state, double share) const
{
    const auto perSecond = state.limit.perSecond * share;
    const auto calls = state.meanCost > 0 ? perSecond / state.meanCost : 0;
    const auto deviation = std::sqrt(calls * state.meanSquareCost / inSeconds(m_options.demandTime));
    return perSecond * (m_options.refillFactor - 1) + deviation * m_options.refillDeviations;
}

/// Without fresh grants, what was used beyond the share since the last one is taken back: nobody corrects it any more.
void UsageLimiter::refill(State &state, base::Time now) const
{
    const auto elapsed = inSeconds(now - std::exchange(state.levelAt, now));
    const auto part = share(state, now);
    const bool isFresh = hasFreshGrants(now);
    const auto depth = state.limit.burst * part + (isFresh ? state.meanCost * SpareCalls : 0);
    if (!isFresh && std::exchange(state.isGranted, false)) {
        state.level -= std::exchange(state.extra, 0);
    }
    state.isGranted = isFresh;
    state.level = std::min(depth, state.level + state.limit.perSecond * part * elapsed);
    if (isFresh) {
        const auto extra = std::min(depth - state.level, extraPerSecond(state, part) * elapsed);
        state.level += extra;
        state.extra += extra;
    }
}

/// Callers come back to any daemon, so that the refill of the whole site counts.
base::Duration UsageLimiter::retryAfter(const State &state, double cost) const
{
    const auto perSecond = state.limit.perSecond * state.admittedFraction;
    const auto seconds = perSecond > 0 ? cost / perSecond : inSeconds(m_options.maxRetryAfter);
    const auto limited = std::clamp(seconds, inSeconds(m_options.minRetryAfter), inSeconds(m_options.maxRetryAfter));
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(limited));
}

/// Spends what is left in the bucket on a chance that a call which costs more is admitted. On average no more is admitted than the bucket held; if
/// each daemon admitted one call on credit, a small account would exceed its limit many times over.
bool UsageLimiter::spendOnChance(State &state, double cost, std::mt19937_64 &random)
{
    const auto chance = std::exchange(state.level, 0) / cost * ChanceFactor;
    return std::uniform_real_distribution<double>()(random) < chance;
}

UsageDecision UsageLimiter::admit(const base::CallerName &account, double cost, base::Time now, std::mt19937_64 &random)
{
    const auto it = m_states.find(account);
    if (it == m_states.end()) {
        return {};
    }
    auto &state = it->second;
    refill(state, now);
    // The allocator has forgotten the counters of an account that was not reported.
    if (state.isUsed && now >= state.usedAt + m_options.reportTime) {
        state.use.requested = 0;
        state.use.admitted = 0;
    }
    state.isUsed = true;
    state.usedAt = now;
    state.use.requested += cost;
    // Grants could not add spare calls to the bucket while their cost was unknown here.
    if (state.meanCost == 0 && state.admittedFraction == 1 && hasFreshGrants(now)) {
        state.level += cost * SpareCalls;
        state.extra += cost * SpareCalls;
    }
    const auto weight = state.meanCost > 0 ? CostWeight : 1;
    state.meanCost += (cost - state.meanCost) * weight;
    state.meanSquareCost += (cost * cost - state.meanSquareCost) * weight;
    if (state.level < 0) {
        return {false, retryAfter(state, cost)};
    }
    if (state.admittedFraction < 1 && std::uniform_real_distribution<double>()(random) >= state.admittedFraction) {
        return {false, retryAfter(state, cost)};
    }
    if (hasFreshGrants(now) || state.level >= cost) {
        state.level -= cost;
    } else if (!spendOnChance(state, cost, random)) {
        return {false, retryAfter(state, cost)};
    }
    state.use.admitted += cost;
    return {};
}

void UsageLimiter::giveBack(const base::CallerName &account, double cost)
{
    const auto it = m_states.find(account);
    if (it != m_states.end()) {
        it->second.level += cost;
        it->second.use.admitted = std::max(0.0, it->second.use.admitted - cost);
    }
}

std::vector<AccountUse> UsageLimiter::report(base::Time now) const
{
    std::vector<AccountUse> report;
    for (const auto &[name, state] : m_states) {
        if (state.isUsed && now < state.usedAt + m_options.reportTime) {
            report.push_back(state.use);
        }
    }
    std::ranges::sort(report);
    return report;
}

bool UsageLimiter::hasLimits() const
{
    return !m_states.empty();
}

bool UsageLimiter::isContended() const
{
    return std::ranges::any_of(m_states, [](const auto &it) {
        const auto &state = it.second;
        return state.admittedFraction < 1 || state.level < state.limit.burst * state.share;
    });
}

std::size_t UsageLimiter::limitedAccounts() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_states, [](const auto &it) { return it.second.admittedFraction < 1 || it.second.level < 0; }));
}

} // namespace turmericplank::accounts
