#include "turmericplank/routing/router.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <tuple>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::routing {

namespace {

constexpr double HashRange = 18446744073709551616.0; ///< 2^64
constexpr std::size_t MaxCachedEndpoints = 6; ///< endpoints with the longest cached prefixes; enough to choose from
constexpr double FailurePenaltyMilliseconds = 400; ///< delay that a failed attempt causes for its caller

/// Pseudo-random number in [0, 1) that depends only on the seed and the endpoint's index, so that daemons whose endpoints have
/// the same indexes prefer the same endpoint for prompts with the same first prefix.
double tieBreakShare(std::uint64_t seed, EndpointIndex index)
{
    auto x = seed ^ (0x9e3779b97f4a7c15ULL * (index + 1));
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<double>(x ^ (x >> 31U)) / HashRange;
}

base::Duration fromMilliseconds(double value)
{
    return base::Duration(static_cast<std::int64_t>(value * 1000));
}

} // namespace

void Router::collectCandidates(const std::vector<EndpointIndex> &residents, const RouteRequest &request, std::mt19937_64 &random)
{
    m_candidates.clear();
    const bool isSampled = residents.size() > m_options.maxCandidates;
    if (!isSampled) {
        m_candidates = residents;
    } else {
        for (const auto &[index, prefix] : m_cachedPrefixes) {
            if (!request.softwareVersion || m_endpoints[index].endpoint.softwareVersion == *request.softwareVersion) {
                m_candidates.push_back(index);
            }
        }
        while (m_candidates.size() < m_options.maxCandidates) {
            m_candidates.push_back(residents[random() % residents.size()]);
        }
        std::ranges::sort(m_candidates);
        m_candidates.erase(std::unique(m_candidates.begin(), m_candidates.end()), m_candidates.end());
    }
    if (!request.excluded.empty()) {
        std::erase_if(m_candidates,
                      [&](EndpointIndex index) { return std::ranges::find(request.excluded, m_endpoints[index].endpoint.id) != request.excluded.end(); });
    }
}

const std::vector<EndpointIndex> &Router::residentsFor(const base::ModelName &model, const RouteRequest &request)
{
    const auto &residents = m_residents[model];
    if (!request.softwareVersion) {
        return residents;
    }
    m_residentsOfVersion.clear();
    std::ranges::copy_if(residents, std::back_inserter(m_residentsOfVersion),
                         [&](EndpointIndex index) { return m_endpoints[index].endpoint.softwareVersion == *request.softwareVersion; });
    return m_residentsOfVersion;
}

void Router::findCachedPrefixes(const RouteRequest &request, base::Time now)
{
    m_cachedPrefixes.clear();
    for (auto it = request.prefixes.rbegin(); it != request.prefixes.rend() && m_cachedPrefixes.size() < MaxCachedEndpoints; ++it) {
        m_prefixes.holders(it->fingerprint, now, m_holders);
        for (const auto index : m_holders) {
            const bool isKnown = std::ranges::any_of(m_cachedPrefixes, [index](const auto &cached) { return cached.first == index; });
            if (!isKnown) {
                m_cachedPrefixes.emplace_back(index, *it);
            }
        }
    }
}

std::uint32_t Router::cachedTokensOn(EndpointIndex index) const
{
    const auto it = std::ranges::find_if(m_cachedPrefixes, [index](const auto &cached) { return cached.first == index; });
    return it == m_cachedPrefixes.end() ? 0 : it->second.tokens;
}

double Router::waitMilliseconds(const EndpointState &state, const Work &work, base::Priority priority) const
{
    const auto &speed = m_options.speed;
    const double concurrency = state.endpoint.concurrency;
    const bool isUrgent = priority == base::Priority::Urgent;
    const double batch = std::min(work.streams, concurrency);
    const double step = speed.stepMilliseconds + speed.stepMillisecondsPerStream * batch;
    const double tokensAhead = work.urgentTokens + (isUrgent ? 0 : work.otherTokens);
    const double streamsAhead = work.streams - (isUrgent ? work.otherWaiting : 0);
    // When the batch is full, a slot becomes free each time one of its streams has completed its answer.
    const double answersAhead = std::max(0.0, streamsAhead - concurrency + 1) / concurrency;
    return step + batch * speed.stepMillisecondsPerStream + tokensAhead * speed.promptMillisecondsPerToken + answersAhead * speed.averageAnswerTokens * step;
}

void Router::scorePrompt(const RouteRequest &request, const Work &work, double concurrency, Cost &cost) const
{
    const auto &speed = m_options.speed;
    cost.prompt = (request.promptTokens - cost.cachedTokens) * speed.promptMillisecondsPerToken;
    if (m_options.mayMoveCache && !m_cachedPrefixes.empty() && m_cachedPrefixes.front().second.tokens > cost.cachedTokens) {
        const double tokens = m_cachedPrefixes.front().second.tokens;
        const double move = speed.cacheMoveMilliseconds + tokens * speed.cacheMoveMillisecondsPerToken;
        const double moved = move + (request.promptTokens - std::min<double>(tokens, request.promptTokens)) * speed.promptMillisecondsPerToken;
        if (moved < cost.prompt) {
            cost.prompt = moved;
            cost.source = m_cachedPrefixes.front().first;
        }
    }
    cost.interference =
        cost.prompt * m_options.promptInterference * std::min(1.0, work.streams / concurrency) + m_options.streamPenaltyMilliseconds * work.streams;
}

bool Router::isUsable(const EndpointState &state)
{
    return state.isConfigured && !state.isLeavingByReport && state.status != EndpointStatus::Leaving && state.status != EndpointStatus::Gone;
}

bool Router::isBetter(const ScoredCandidate &a, const ScoredCandidate &b)
{
    // Order: endpoints due for a probe, then healthy ones, then suspect or blocked ones.
    const auto rank = [](const ScoredCandidate &it) {
        return it.healthClass == 1 ? -1 : it.healthClass;
    };
    if (rank(a) != rank(b)) {
        return rank(a) < rank(b);
    }
    // If the request misses its deadline on every endpoint, choose the one where it delays other requests least.
    if (a.isLate != b.isLate) {
        return b.isLate;
    }
    if (a.isLate) {
        return std::pair(a.cost.prompt, a.cost.total) < std::pair(b.cost.prompt, b.cost.total);
    }
    return a.cost.total + a.cost.interference + a.cost.tieBreak < b.cost.total + b.cost.interference + b.cost.tieBreak;
}

Router::ScoredCandidate Router::score(EndpointIndex index, const ResolvedModel &resolved, const RouteRequest &request, const DecisionContext &context) const
{
    const auto &state = m_endpoints[index];
    ScoredCandidate candidate;
    candidate.index = index;
    auto &cost = candidate.cost;
    auto work = state.load.estimate(context.isPeerWorkComplete, context.similarDaemons, context.now);
    for (auto *it : {&work.streams, &work.urgentWaiting, &work.otherWaiting, &work.urgentTokens, &work.otherTokens}) {
        *it *= m_unreportedWorkFactor;
    }
    const double slowness = state.health.slowness(context.now, m_options.health);
    cost.cachedTokens = std::min(cachedTokensOn(index), request.promptTokens);
    cost.work = waitMilliseconds(state, work, request.priority);
    scorePrompt(request, work, state.endpoint.concurrency, cost);
    cost.distance = 2 * state.distanceMilliseconds;
    const bool needsAdapter = !resolved.adapter.isEmpty() && std::ranges::find(state.adapters, resolved.adapter) == state.adapters.end();
    cost.adapter = needsAdapter ? m_options.speed.adapterLoadMilliseconds : 0;
    cost.health = (slowness - 1) * (cost.work + cost.prompt) + state.health.failureShare(context.now, m_options.health) * FailurePenaltyMilliseconds;
    cost.tieBreak = tieBreakShare(context.tieSeed, index) * m_options.maxTieBreakMilliseconds;
    cost.total = cost.work + cost.prompt + cost.distance + cost.adapter + cost.health;
    candidate.isLate = context.now + fromMilliseconds(cost.total) > request.deadline;
    const auto healthState = state.health.healthState(context.now);
    candidate.healthClass = healthState == HealthState::ProbeOnly ? 1 : 0;
    if (healthState == HealthState::Blocked || state.status == EndpointStatus::Suspect) {
        candidate.healthClass = 2;
    }
    return candidate;
}

Choice Router::makeChoice(const ScoredCandidate &best, const ScoredCandidate *runnerUp, const RouteRequest &request)
{
    const auto &state = m_endpoints[best.index];
    Choice choice;
    choice.ticket = ++m_lastTicket;
    choice.endpoint = state.endpoint.id;
    choice.address = state.endpoint.address;
    choice.incarnation = state.incarnation;
    choice.expectedFirstToken = fromMilliseconds(best.cost.total);
    choice.cachedTokens = best.cost.cachedTokens;
    if (best.cost.source) {
        const auto &source = m_endpoints[*best.cost.source].endpoint;
        choice.cacheSource = CacheSource{source.id, source.address, m_cachedPrefixes.front().second};
        choice.cachedTokens = std::min(m_cachedPrefixes.front().second.tokens, request.promptTokens);
    }
    if (runnerUp == nullptr) {
        choice.reason = best.healthClass == 2 ? RouteReason::LastResort : RouteReason::OnlyCandidate;
        return choice;
    }
    choice.runnerUp = m_endpoints[runnerUp->index].endpoint.id;
    choice.runnerUpFirstToken = fromMilliseconds(runnerUp->cost.total);
    const auto &bestCost = best.cost;
    const auto &runnerUpCost = runnerUp->cost;
    const std::array<std::pair<double, RouteReason>, 5> gains = {{
        {runnerUpCost.work - bestCost.work, RouteReason::LessWork},
        {runnerUpCost.prompt - bestCost.prompt, bestCost.source ? RouteReason::CacheMoved : RouteReason::PrefixCached},
        {runnerUpCost.distance - bestCost.distance, RouteReason::Closer},
        {runnerUpCost.adapter - bestCost.adapter, RouteReason::AdapterResident},
        {runnerUpCost.health - bestCost.health, RouteReason::Healthier},
    }};
    choice.reason = std::ranges::max_element(gains, {}, &std::pair<double, RouteReason>::first)->second;
    if (best.healthClass > 0) {
        choice.reason = best.healthClass == 1 ? RouteReason::Probe : RouteReason::LastResort;
    } else if (runnerUp->healthClass > 0) {
        choice.reason = RouteReason::Healthier;
    }
    return choice;
}

tl::expected<Choice, NoRoute> Router::choose(const RouteRequest &request, base::Time now, std::mt19937_64 &random)
{
    const auto retryAt = now + m_options.retryAfter;
    const auto resolved = resolve(request.model);
    if (!resolved) {
        return tl::unexpected(NoRoute{NoRouteReason::UnknownModel, retryAt});
    }
    const auto &residents = residentsFor(resolved->model, request);
    if (residents.empty()) {
        return tl::unexpected(NoRoute{NoRouteReason::NotResident, retryAt});
    }
    findCachedPrefixes(request, now);
    collectCandidates(residents, request, random);
    if (m_candidates.empty()) {
        return tl::unexpected(NoRoute{NoRouteReason::Excluded, retryAt});
    }
    const DecisionContext context{now, request.prefixes.empty() ? random() : request.prefixes.front().fingerprint, isPeerWorkComplete(now),
                                  m_options.similarDaemonShare * static_cast<double>(m_peers.size())};
    std::optional<ScoredCandidate> best;
    std::optional<ScoredCandidate> runnerUp;
    std::optional<base::Time> firstPauseEnd;
    bool isAllowanceUsed = false;
    for (const auto index : m_candidates) {
        const auto &state = m_endpoints[index];
        if (!isUsable(state)) {
            continue;
        }
        if (now < state.pausedUntil) {
            firstPauseEnd = std::min(firstPauseEnd.value_or(state.pausedUntil), state.pausedUntil);
            continue;
        }
        if (!maySend(state, request, now)) {
            isAllowanceUsed = true;
            continue;
        }
        auto candidate = score(index, *resolved, request, context);
        if (!best || isBetter(candidate, *best)) {
            runnerUp = best;
            best = candidate;
        } else if (!runnerUp || isBetter(candidate, *runnerUp)) {
            runnerUp = candidate;
        }
    }
    if (!best && isAllowanceUsed) {
        return tl::unexpected(NoRoute{NoRouteReason::AllowanceUsed, retryAt});
    }
    if (!best && firstPauseEnd) {
        return tl::unexpected(NoRoute{NoRouteReason::Paused, *firstPauseEnd});
    }
    if (!best) {
        return tl::unexpected(NoRoute{NoRouteReason::Unavailable, retryAt});
    }
    return makeChoice(*best, runnerUp ? &*runnerUp : nullptr, request);
}

} // namespace turmericplank::routing
