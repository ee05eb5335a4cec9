#include "turmericplank/routing/rejectionallowance.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace turmericplank::routing {

namespace {

constexpr double MaxUseForRetries = 0.75; ///< share of an endpoint's slots
constexpr std::uint32_t FirstBackoff = 2; ///< nothing shows yet whether the added slots are free
constexpr std::uint32_t MinToleranceToBorrow = 3; ///< daemons that begin to use their shares at the same time may cause several rejections

} // namespace

RejectionAllowance::RejectionAllowance(RejectionAllowanceOptions options)
    : m_options(options)
    , m_daemons(1)
{
}

void RejectionAllowance::setDaemons(const base::DaemonId &self, const std::vector<base::DaemonId> &others, base::Time now)
{
    m_knownFrom = m_knownFrom.value_or(now + m_options.startTime);
    m_daemons = others;
    m_daemons.push_back(self);
    std::ranges::sort(m_daemons);
    m_daemons.erase(std::unique(m_daemons.begin(), m_daemons.end()), m_daemons.end());
    m_maxDaemons = m_endpoints.empty() ? m_daemons.size() : std::max(m_maxDaemons, m_daemons.size());
    m_self = static_cast<std::size_t>(std::ranges::lower_bound(m_daemons, self) - m_daemons.begin());
    if (m_daemons.size() == m_maxDaemons) {
        m_phase = static_cast<double>(m_self) / static_cast<double>(m_maxDaemons);
    }
}

/// Part of an amount that a daemon gets when the units are dealt to all daemons in turn.
std::uint32_t RejectionAllowance::dealt(std::uint32_t amount, std::size_t firstDaemon, std::size_t daemon) const
{
    const auto count = m_daemons.size();
    const auto position = (daemon + count - firstDaemon % count) % count;
    return static_cast<std::uint32_t>(amount / count + (position < amount % count ? 1 : 0));
}

void RejectionAllowance::setEndpoints(const base::ServiceName &service, std::vector<LimitedEndpoint> endpoints, std::uint32_t rejectionsPerSecond)
{
    std::ranges::sort(endpoints);
    std::set<base::EndpointId> known;
    std::size_t firstDaemon = 0;
    for (const auto &it : endpoints) {
        auto &endpoint = m_endpoints[it.id];
        endpoint.service = service;
        endpoint.slots = it.slots;
        endpoint.rejectionsPerSecond = rejectionsPerSecond;
        endpoint.firstDaemon = firstDaemon;
        endpoint.phase = static_cast<double>(known.size()) / static_cast<double>(endpoints.size());
        firstDaemon = (firstDaemon + it.slots) % m_daemons.size();
        known.insert(it.id);
    }
    std::erase_if(m_endpoints, [&](const auto &it) { return it.second.service == service && !known.contains(it.first); });
}

void RejectionAllowance::removeService(const base::ServiceName &service)
{
    std::erase_if(m_endpoints, [&](const auto &it) { return it.second.service == service; });
}

bool RejectionAllowance::isLimited(const base::EndpointId &endpoint) const
{
    return m_endpoints.contains(endpoint);
}

/// In each interval, the shares of all daemons together grow by half as many slots as rejections are tolerated, so that calls in two
/// intervals may be rejected within a second.
base::Duration RejectionAllowance::raiseInterval(const Endpoint &endpoint) const
{
    const auto tolerated = std::max<std::size_t>(1, endpoint.rejectionsPerSecond);
    const auto intervals = std::max<std::size_t>(1, (2 * m_maxDaemons + tolerated - 1) / tolerated);
    return m_options.raiseInterval * static_cast<std::int64_t>(intervals * endpoint.backoff);
}

void RejectionAllowance::updateShare(Endpoint &endpoint, base::Time now) const
{
    const auto target = dealt(endpoint.slots, endpoint.firstDaemon, m_self);
    const bool isKnown = m_knownFrom && now >= *m_knownFrom;
    if (!endpoint.isShareDealt) {
        endpoint.share = isKnown ? target : std::min(1U, target);
        endpoint.isShareDealt = isKnown;
    } else if (target <= endpoint.share) {
        endpoint.share = target;
        endpoint.backoff = 1;
        endpoint.raiseAt = base::Time();
    } else if (endpoint.raiseAt == base::Time()) {
        endpoint.backoff = FirstBackoff;
        const auto interval = raiseInterval(endpoint);
        const auto phase = m_phase + endpoint.phase;
        endpoint.raiseAt = now + interval + std::chrono::duration_cast<base::Duration>(interval * (phase - std::floor(phase)));
    } else if (now >= endpoint.raiseAt) {
        ++endpoint.share;
        endpoint.backoff = std::max(1U, endpoint.backoff / 2);
        endpoint.raiseAt = now + raiseInterval(endpoint);
    }
}

/// A daemon that is not heard keeps its whole share.
RejectionAllowance::Use RejectionAllowance::useOf(Endpoint &endpoint, std::uint32_t own, const PeerWork &peers, base::Time now) const
{
    Use use;
    use.total = own;
    for (std::size_t n = 0; n < m_daemons.size(); ++n) {
        if (n == m_self) {
            continue;
        }
        const auto share = dealt(endpoint.slots, endpoint.firstDaemon, n);
        const auto peer = peers.find(m_daemons[n]);
        const auto calls = peer == peers.end() ? share : peer->second.streams;
        auto &busyAt = endpoint.busyAt.try_emplace(m_daemons[n], now).first->second;
        busyAt = calls > 0 ? now : busyAt;
        const bool isIdle = now >= busyAt + m_options.idleTime;
        const auto kept = isIdle ? std::min(1U, share) : share;
        use.active += isIdle ? 0 : 1;
        use.reserved += std::max(kept, calls) - calls;
        use.unused += std::min(share - kept, endpoint.share);
        use.isShareBorrowed = use.isShareBorrowed || calls > share;
        use.total += calls;
    }
    return use;
}

/// Divides the slots that are neither in use nor reserved among the daemons that are not idle.
void RejectionAllowance::updateBorrowLimit(Endpoint &endpoint, std::uint32_t own, const Use &use, base::Time now) const
{
    if (now < endpoint.borrowLimitUntil) {
        return;
    }
    const auto taken = use.total + use.reserved;
    const auto free = endpoint.slots - std::min(endpoint.slots, taken);
    endpoint.borrowLimit = std::min(own + free / use.active, endpoint.share + use.unused / use.active);
    endpoint.borrowLimitUntil = now + m_options.borrowInterval;
}

bool RejectionAllowance::maySend(const base::EndpointId &endpoint, const EndpointWork &own, const PeerWork &peers, bool isRetry, base::Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end()) {
        return true;
    }
    auto &state = it->second;
    updateShare(state, now);
    std::erase_if(state.rejections, [&](base::Time at) { return at + m_options.window <= now; });
    const auto rejections = static_cast<std::uint32_t>(state.rejections.size());
    if (rejections > 0 && (rejections >= dealt(state.rejectionsPerSecond, state.firstDaemon, m_self) || own.streams >= state.share)) {
        return false;
    }
    const auto use = useOf(state, own.streams, peers, now);
    if (use.total >= (isRetry ? static_cast<std::uint32_t>(state.slots * MaxUseForRetries) : state.slots)) {
        return false;
    }
    if (own.streams < state.share && !use.isShareBorrowed) {
        return true;
    }
    if (state.rejectionsPerSecond < MinToleranceToBorrow) {
        return own.streams < state.share;
    }
    updateBorrowLimit(state, own.streams, use, now);
    // Each daemon may use one slot of its share at any time: daemons that borrow leave it free.
    return own.streams < state.borrowLimit || (own.streams == 0 && state.share > 0);
}

void RejectionAllowance::noteRejected(const base::EndpointId &endpoint, std::uint32_t ownLeft, base::Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end()) {
        return;
    }
    auto &state = it->second;
    updateShare(state, now);
    // Calls that were sent shortly after each other are rejected for the same cause.
    const bool isFirst = state.rejections.empty() || state.rejections.back() + m_options.window <= now;
    state.rejections.push_back(now);
    state.borrowLimitUntil = base::Time();
    if (isFirst && ownLeft < state.share) {
        state.share = std::max(ownLeft, state.share / 2);
        state.raiseAt = now + raiseInterval(state);
        state.backoff = std::min(m_options.maxBackoff, state.backoff * 2);
    }
}

} // namespace turmericplank::routing
