#include "turmericplank/routing/router.hpp"

#include <algorithm>
#include <array>
#include <tuple>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::routing {

namespace {

constexpr double UnitInterval = 18446744073709551616.0; ///< 2^64
constexpr double FailureMilliseconds = 400; ///< what a failed attempt costs its caller

/// A share in [0, 1) that is the same on every daemon for the same prompt and endpoint.
double shareOf(std::uint64_t seed, EndpointIndex index)
{
    auto x = seed ^ (0x9e3779b97f4a7c15ULL * (index + 1));
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<double>(x ^ (x >> 31U)) / UnitInterval;
}

base::Duration fromMilliseconds(double value)
{
    return base::Duration(static_cast<std::int64_t>(value * 1000));
}

} // namespace

void Router::gather(const std::vector<EndpointIndex> &residents, const RouteRequest &request, std::mt19937_64 &random)
{
    m_candidates.clear();
    const bool isSampled = residents.size() > m_options.candidateLimit;
    if (!isSampled) {
        m_candidates = residents;
    } else {
        for (const auto &[index, prefix] : m_cached) {
            m_candidates.push_back(index);
        }
        while (m_candidates.size() < m_options.candidateLimit) {
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

void Router::findCached(const RouteRequest &request, base::Time now)
{
    m_cached.clear();
    for (auto it = request.prefixes.rbegin(); it != request.prefixes.rend(); ++it) {
        m_prefixes.holders(it->fingerprint, now, m_holders);
        for (const auto index : m_holders) {
            const bool isKnown = std::ranges::any_of(m_cached, [index](const auto &cached) { return cached.first == index; });
            if (!isKnown) {
                m_cached.emplace_back(index, *it);
            }
        }
    }
}

std::uint32_t Router::cachedOn(EndpointIndex index) const
{
    const auto it = std::ranges::find_if(m_cached, [index](const auto &cached) { return cached.first == index; });
    return it == m_cached.end() ? 0 : it->second.tokens;
}

double Router::waitMilliseconds(const EndpointState &state, const Work &work, base::Priority priority) const
{
    const auto &speed = m_options.speed;
    const double concurrency = state.endpoint.concurrency;
    const double batch = std::min(work.streams, concurrency);
    const double step = speed.stepMilliseconds + speed.stepMillisecondsPerStream * batch;
    const double tokensAhead = work.urgentTokens + (priority == base::Priority::Urgent ? 0 : work.otherTokens);
    double wait = step + tokensAhead * speed.promptMillisecondsPerToken;
    if (work.streams >= concurrency) {
        const double share = tokensAhead / std::max(1.0, work.urgentTokens + work.otherTokens);
        const double turns = ((work.streams - concurrency) * share + 1) / concurrency;
        wait += turns * speed.averageAnswerTokens * step;
    }
    return wait + batch * speed.stepMillisecondsPerStream;
}

Router::Weighed Router::weigh(EndpointIndex index, const Resolved &resolved, const RouteRequest &request, base::Time now, std::uint64_t tieSeed) const
{
    const auto &state = m_endpoints[index];
    const auto &speed = m_options.speed;
    Weighed weighed{index, {}, 0};
    auto &cost = weighed.cost;
    const double slowness = state.health.slowness(now, m_options.health);
    cost.cachedTokens = std::min(cachedOn(index), request.promptTokens);
    cost.work = waitMilliseconds(state, state.load.estimate(isPeerWorkComplete(now)), request.priority);
    cost.prompt = (request.promptTokens - cost.cachedTokens) * speed.promptMillisecondsPerToken;
    if (m_options.mayMoveCache && !m_cached.empty() && m_cached.front().second.tokens > cost.cachedTokens) {
        const double tokens = m_cached.front().second.tokens;
        const double move = speed.cacheMoveMilliseconds + tokens * speed.cacheMoveMillisecondsPerToken;
        const double moved = move + (request.promptTokens - std::min<double>(tokens, request.promptTokens)) * speed.promptMillisecondsPerToken;
        if (moved < cost.prompt) {
            cost.prompt = moved;
            cost.source = m_cached.front().first;
        }
    }
    cost.distance = 2 * state.distanceMilliseconds;
    const bool needsAdapter = !resolved.adapter.isEmpty() && std::ranges::find(state.adapters, resolved.adapter) == state.adapters.end();
    cost.adapter = needsAdapter ? speed.adapterLoadMilliseconds : 0;
    cost.health = (slowness - 1) * (cost.work + cost.prompt) + state.health.failureShare(now, m_options.health) * FailureMilliseconds;
    cost.tie = shareOf(tieSeed, index) * m_options.tieMilliseconds;
    cost.total = cost.work + cost.prompt + cost.distance + cost.adapter + cost.health;
    const auto trust = state.health.trust(now);
    weighed.doubt = trust == Trust::OneProbe ? 1 : 0;
    if (trust == Trust::Blocked || state.mark == EndpointMark::Suspect) {
        weighed.doubt = 2;
    }
    return weighed;
}

Choice Router::makeChoice(const Weighed &best, const Weighed *runnerUp, const RouteRequest &request)
{
    const auto &state = m_endpoints[best.index];
    Choice choice;
    choice.ticket = ++m_lastTicket;
    choice.endpoint = state.endpoint.id;
    choice.address = state.endpoint.address;
    choice.expectedFirstToken = fromMilliseconds(best.cost.total);
    choice.cachedTokens = best.cost.cachedTokens;
    if (best.cost.source) {
        const auto &source = m_endpoints[*best.cost.source].endpoint;
        choice.cacheSource = CacheSource{source.id, source.address, m_cached.front().second};
        choice.cachedTokens = std::min(m_cached.front().second.tokens, request.promptTokens);
    }
    if (runnerUp == nullptr) {
        choice.reason = best.doubt == 2 ? RouteReason::LastResort : RouteReason::OnlyCandidate;
        return choice;
    }
    choice.runnerUp = m_endpoints[runnerUp->index].endpoint.id;
    choice.runnerUpFirstToken = fromMilliseconds(runnerUp->cost.total);
    const auto &mine = best.cost;
    const auto &other = runnerUp->cost;
    const std::array<std::pair<double, RouteReason>, 5> gains = {{
        {other.work - mine.work, RouteReason::LessWork},
        {other.prompt - mine.prompt, mine.source ? RouteReason::CacheMoved : RouteReason::PrefixCached},
        {other.distance - mine.distance, RouteReason::Closer},
        {other.adapter - mine.adapter, RouteReason::AdapterResident},
        {other.health - mine.health, RouteReason::Healthier},
    }};
    choice.reason = std::ranges::max_element(gains, {}, &std::pair<double, RouteReason>::first)->second;
    if (best.doubt > 0) {
        choice.reason = best.doubt == 1 ? RouteReason::Probe : RouteReason::LastResort;
    } else if (runnerUp->doubt > 0) {
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
    const auto &residents = m_residents[resolved->model];
    if (residents.empty()) {
        return tl::unexpected(NoRoute{NoRouteReason::NotResident, retryAt});
    }
    findCached(request, now);
    gather(residents, request, random);
    if (m_candidates.empty()) {
        return tl::unexpected(NoRoute{NoRouteReason::Excluded, retryAt});
    }
    const auto tieSeed = request.prefixes.empty() ? random() : request.prefixes.front().fingerprint;
    std::optional<Weighed> best;
    std::optional<Weighed> second;
    const auto isBetter = [](const Weighed &a, const Weighed &b) {
        const bool isProbe = a.doubt == 1 || b.doubt == 1;
        return isProbe && a.doubt != b.doubt && a.doubt < 2 && b.doubt < 2
            ? a.doubt > b.doubt
            : std::tuple(a.doubt / 2, a.cost.total + a.cost.tie) < std::tuple(b.doubt / 2, b.cost.total + b.cost.tie);
    };
    for (const auto index : m_candidates) {
        const auto &state = m_endpoints[index];
        const bool isClosed = !state.isConfigured || state.isLeavingByReport || state.mark == EndpointMark::Leaving || state.mark == EndpointMark::Gone;
        if (isClosed) {
            continue;
        }
        auto weighed = weigh(index, *resolved, request, now, tieSeed);
        if (!best || isBetter(weighed, *best)) {
            second = best;
            best = weighed;
        } else if (!second || isBetter(weighed, *second)) {
            second = weighed;
        }
    }
    if (!best) {
        return tl::unexpected(NoRoute{NoRouteReason::Unavailable, retryAt});
    }
    return makeChoice(*best, second ? &*second : nullptr, request);
}

} // namespace turmericplank::routing
