#include "turmericplank/routing/router.hpp"

#include <algorithm>
#include <array>
#include <tuple>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::routing {

namespace {

constexpr double UnitInterval = 18446744073709551616.0; ///< 2^64
constexpr std::size_t HoldersKept = 6; ///< endpoints with the longest prefixes; enough to choose among
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
    for (auto it = request.prefixes.rbegin(); it != request.prefixes.rend() && m_cached.size() < HoldersKept; ++it) {
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
    const bool isUrgent = priority == base::Priority::Urgent;
    const double batch = std::min(work.streams, concurrency);
    const double step = speed.stepMilliseconds + speed.stepMillisecondsPerStream * batch;
    const double tokensAhead = work.urgentTokens + (isUrgent ? 0 : work.otherTokens);
    const double streamsAhead = work.streams - (isUrgent ? work.otherWaiting : 0);
    // A slot gets free each time that one of the full batch has run its answer.
    const double turns = std::max(0.0, streamsAhead - concurrency + 1) / concurrency;
    return step + batch * speed.stepMillisecondsPerStream + tokensAhead * speed.promptMillisecondsPerToken + turns * speed.averageAnswerTokens * step;
}

void Router::weighPrompt(const RouteRequest &request, const Work &work, double concurrency, Cost &cost) const
{
    const auto &speed = m_options.speed;
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
    cost.burden = cost.prompt * m_options.promptBurden * std::min(1.0, work.streams / concurrency) + m_options.streamPenaltyMilliseconds * work.streams;
}

bool Router::isBetter(const Weighed &a, const Weighed &b)
{
    // A probe goes before trusted endpoints, those before doubtful ones.
    const auto rank = [](const Weighed &it) {
        return it.doubt == 1 ? -1 : it.doubt;
    };
    if (rank(a) != rank(b)) {
        return rank(a) < rank(b);
    }
    // A request that comes late wherever it goes had better cost the others least.
    if (a.isLate != b.isLate) {
        return b.isLate;
    }
    if (a.isLate) {
        return std::pair(a.cost.prompt, a.cost.total) < std::pair(b.cost.prompt, b.cost.total);
    }
    return a.cost.total + a.cost.burden + a.cost.tie < b.cost.total + b.cost.burden + b.cost.tie;
}

Router::Weighed Router::weigh(EndpointIndex index, const Resolved &resolved, const RouteRequest &request, const Moment &moment) const
{
    const auto &state = m_endpoints[index];
    Weighed weighed;
    weighed.index = index;
    auto &cost = weighed.cost;
    auto work = state.load.estimate(moment.isPeerWorkComplete, moment.alikeDaemons, moment.now);
    for (auto *it : {&work.streams, &work.urgentWaiting, &work.otherWaiting, &work.urgentTokens, &work.otherTokens}) {
        *it *= m_unheardFactor;
    }
    const double slowness = state.health.slowness(moment.now, m_options.health);
    cost.cachedTokens = std::min(cachedOn(index), request.promptTokens);
    cost.work = waitMilliseconds(state, work, request.priority);
    weighPrompt(request, work, state.endpoint.concurrency, cost);
    cost.distance = 2 * state.distanceMilliseconds;
    const bool needsAdapter = !resolved.adapter.isEmpty() && std::ranges::find(state.adapters, resolved.adapter) == state.adapters.end();
    cost.adapter = needsAdapter ? m_options.speed.adapterLoadMilliseconds : 0;
    cost.health = (slowness - 1) * (cost.work + cost.prompt) + state.health.failureShare(moment.now, m_options.health) * FailureMilliseconds;
    cost.tie = shareOf(moment.tieSeed, index) * m_options.tieMilliseconds;
    cost.total = cost.work + cost.prompt + cost.distance + cost.adapter + cost.health;
    weighed.isLate = moment.now + fromMilliseconds(cost.total) > request.deadline;
    const auto trust = state.health.trust(moment.now);
    weighed.doubt = trust == Trust::OneProbe ? 1 : 0;
    if (trust == Trust::Blocked || state.mark == EndpointStatus::Suspect) {
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
    choice.incarnation = state.incarnation;
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
    const Moment moment{now, request.prefixes.empty() ? random() : request.prefixes.front().fingerprint, isPeerWorkComplete(now),
                        m_options.alikeShare * static_cast<double>(m_peers.size())};
    std::optional<Weighed> best;
    std::optional<Weighed> second;
    for (const auto index : m_candidates) {
        const auto &state = m_endpoints[index];
        const bool isClosed = !state.isConfigured || state.isLeavingByReport || state.mark == EndpointStatus::Leaving || state.mark == EndpointStatus::Gone;
        if (isClosed) {
            continue;
        }
        auto weighed = weigh(index, *resolved, request, moment);
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
