#include "turmericplank/routing/rateallowance.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "turmericplank/base/digest.hpp"
#include "turmericplank/routing/fairshare.hpp"

namespace turmericplank::routing {

namespace {

constexpr auto ShareInterval = std::chrono::milliseconds(100); ///< between two computations of a share, since calls may come often
constexpr double DemandMargin = 1.25; ///< more calls may come at any moment
constexpr double RoundingError = 1e-6; ///< of calls that have become available

double inSeconds(base::Duration it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

RateAllowance::RateAllowance(RateAllowanceOptions options)
    : m_options(options)
{
}

void RateAllowance::setDaemons(const base::DaemonId &self, const std::vector<base::DaemonId> &others, base::Time now)
{
    m_self = self;
    m_knownFrom = m_knownFrom.value_or(now + m_options.startTime);
    for (const auto &it : others) {
        m_others[it] = now;
    }
    std::erase_if(m_others, [&](const auto &it) { return now >= it.second + m_options.leaveTime || it.first == self; });
}

void RateAllowance::noteStatement(const base::EndpointId &endpoint, std::optional<double> callsPerSecond, base::Time heardAt, base::Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end() && !callsPerSecond) {
        return;
    }
    auto &state = it == m_endpoints.end() ? m_endpoints[endpoint] : it->second;
    const bool isLate = heardAt < state.heardAt || heardAt <= state.ignoredUntil;
    const bool mayBeOlder = !callsPerSecond && state.limit && heardAt < state.limitHeardAt + m_options.endOverlap;
    if (isLate || mayBeOlder) {
        return;
    }
    if (callsPerSecond && !state.limit) {
        state.calls = 0;
        state.callsAt = now;
    }
    state.heardAt = heardAt;
    if (callsPerSecond) {
        state.limitHeardAt = heardAt;
    }
    if (state.limit != callsPerSecond) {
        state.limit = callsPerSecond;
        state.shareUntil = base::Time();
    }
}

void RateAllowance::forget(const base::EndpointId &endpoint, base::Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end()) {
        it->second = Endpoint();
        it->second.ignoredUntil = now;
    }
}

void RateAllowance::dropUnlisted(const std::function<bool(const base::EndpointId &)> &isListed)
{
    std::erase_if(m_endpoints, [&](const auto &it) { return !isListed(it.first); });
}

void RateAllowance::addDemand(Demands &demands, double callsPerSecond, base::Time now) const
{
    demands.push_back({now, callsPerSecond});
    // The last one before the settle time was in force at its start.
    while (demands.size() > 1 && demands[1].at + m_options.settleTime <= now) {
        demands.pop_front();
    }
}

void RateAllowance::notePeerDemand(const base::DaemonId &from, const base::EndpointId &endpoint, double demand, base::Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end()) {
        addDemand(it->second.peers[from], demand, now);
    }
}

std::optional<double> RateAllowance::limit(const base::EndpointId &endpoint) const
{
    const auto it = m_endpoints.find(endpoint);
    return it == m_endpoints.end() ? std::nullopt : it->second.limit;
}

double RateAllowance::ownDemand(Endpoint &endpoint, base::Time now) const
{
    while (!endpoint.wanted.empty() && endpoint.wanted.front() + m_options.demandTime <= now) {
        endpoint.wanted.pop_front();
    }
    return DemandMargin * static_cast<double>(endpoint.wanted.size()) / inSeconds(m_options.demandTime);
}

double RateAllowance::peerDemand(const Endpoint &endpoint, const base::DaemonId &peer, double limit, base::Time now) const
{
    const auto it = endpoint.peers.find(peer);
    if (it == endpoint.peers.end() || now >= it->second.back().at + m_options.reportLifetime) {
        return limit;
    }
    double demand = it->second.back().callsPerSecond;
    for (auto report = it->second.rbegin(); report != it->second.rend(); ++report) {
        demand = std::max(demand, report->callsPerSecond);
        if (report->at + m_options.settleTime <= now) {
            break;
        }
    }
    return demand;
}

/// @return nothing if this daemon is not among those that may use the limit now
std::optional<double> RateAllowance::computeShare(const base::EndpointId &id, const Endpoint &endpoint, double limit, base::Time now) const
{
    const auto maxDaemons = static_cast<std::size_t>(m_options.minDaemons + m_options.daemonsPerCall * limit);
    if (!m_knownFrom || now < *m_knownFrom) {
        return limit / static_cast<double>(maxDaemons);
    }
    const auto claimant = [&](const base::DaemonId &daemon, double demand) {
        return Claimant{!(demand > 0), base::fingerprint(id.text() + '/' + daemon.text()), demand};
    };
    double own = endpoint.reported.empty() ? 0 : std::numeric_limits<double>::max();
    for (auto it = endpoint.reported.rbegin(); it != endpoint.reported.rend(); ++it) {
        own = std::min(own, it->callsPerSecond);
        if (it->at + m_options.settleTime <= now) {
            break;
        }
    }
    // Nothing was reported long enough ago to be in force.
    if (!endpoint.reported.empty() && endpoint.reported.front().at + m_options.settleTime > now) {
        own = 0;
    }
    const auto self = claimant(m_self, own);
    std::vector<Claimant> others;
    for (const auto &[daemon, listedAt] : m_others) {
        others.push_back(claimant(daemon, peerDemand(endpoint, daemon, limit, now)));
    }
    const auto isBefore = [](const Claimant &a, const Claimant &b) {
        return std::pair(a.isIdle, a.rank) < std::pair(b.isIdle, b.rank);
    };
    std::ranges::sort(others, isBefore);
    if (others.size() >= maxDaemons) {
        others.resize(maxDaemons);
        if (isBefore(others.back(), self)) {
            return std::nullopt;
        }
        others.pop_back();
    }
    std::vector<double> demands;
    for (const auto &it : others) {
        demands.push_back(it.demand);
    }
    return fairShare(own, demands, limit);
}

/// Computes the calls that have become available.
void RateAllowance::update(const base::EndpointId &id, Endpoint &endpoint, base::Time now)
{
    const auto rate = std::max(*endpoint.limit, m_options.minRate);
    if (now >= endpoint.shareUntil) {
        endpoint.share = computeShare(id, endpoint, rate, now);
        endpoint.shareUntil = now + ShareInterval;
    }
    const auto share = endpoint.share.value_or(0);
    // Part of a call beyond the first one is kept, since the next call may come late.
    const auto maxCalls = std::max(1 + share / rate, share * inSeconds(m_options.burstTime));
    endpoint.calls = std::min(maxCalls, endpoint.calls + share * inSeconds(now - endpoint.callsAt));
    endpoint.callsAt = now;
}

bool RateAllowance::maySend(const base::EndpointId &endpoint, bool isNew, base::Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end() || !it->second.limit) {
        return true;
    }
    auto &state = it->second;
    update(endpoint, state, now);
    const bool isAllowed = state.share && state.calls >= 1 - RoundingError;
    if (!isAllowed && isNew) {
        state.wanted.push_back(now);
    }
    return isAllowed;
}

void RateAllowance::noteSent(const base::EndpointId &endpoint, bool isNew, base::Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end() || !it->second.limit) {
        return;
    }
    auto &state = it->second;
    update(endpoint, state, now);
    state.calls -= 1;
    if (isNew) {
        state.wanted.push_back(now);
    }
}

std::vector<RateReport> RateAllowance::report(base::Time now)
{
    std::vector<RateReport> reports;
    for (auto &[id, endpoint] : m_endpoints) {
        if (!endpoint.limit && now >= endpoint.heardAt + m_options.leaveTime) {
            continue;
        }
        const auto demand = endpoint.limit ? ownDemand(endpoint, now) : 0;
        addDemand(endpoint.reported, demand, now);
        reports.push_back({id, endpoint.limit, endpoint.heardAt, demand});
    }
    return reports;
}

} // namespace turmericplank::routing
