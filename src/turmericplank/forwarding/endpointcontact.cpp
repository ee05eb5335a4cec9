#include "turmericplank/forwarding/endpointcontact.hpp"

#include <algorithm>

namespace turmericplank::forwarding {

EndpointContact::EndpointContact(EndpointContactOptions options)
    : m_options(options)
{
}

void EndpointContact::add(const base::EndpointId &id)
{
    m_endpoints.try_emplace(id);
}

void EndpointContact::remove(const base::EndpointId &id)
{
    m_endpoints.erase(id);
}

void EndpointContact::noteSent(const base::EndpointId &id, base::Time now)
{
    const auto it = m_endpoints.find(id);
    if (it != m_endpoints.end() && !it->second.waitsSince) {
        it->second.waitsSince = now;
    }
}

void EndpointContact::noteReceived(const base::EndpointId &id, base::Time now)
{
    m_heardAt = now;
    if (const auto it = m_endpoints.find(id); it != m_endpoints.end()) {
        it->second.waitsSince.reset();
        it->second.isHanging = false;
    }
}

void EndpointContact::noteConnected(const base::EndpointId &id, base::Time now)
{
    m_heardAt = now;
    if (const auto it = m_endpoints.find(id); it != m_endpoints.end()) {
        const auto waitsSince = it->second.waitsSince;
        it->second = {};
        it->second.waitsSince = waitsSince;
    }
}

void EndpointContact::noteConnectFailed(const base::EndpointId &id, ConnectFailure failure, base::Time now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    noteConnectionLost(id, now);
    fail(it->second, failure, now);
    const auto hanging = std::ranges::count_if(m_endpoints, [](const auto &state) { return state.second.failedAt && state.second.isHanging; });
    const auto needed = std::min(m_options.failuresOfAll, m_endpoints.size());
    if (static_cast<std::size_t>(hanging) >= needed && now >= m_heardAt + m_options.silenceTime) {
        failAll(now);
    }
}

void EndpointContact::fail(State &state, ConnectFailure failure, base::Time now) const
{
    constexpr unsigned MaxDoublings = 8;
    state.failedAt = state.failedAt.value_or(now);
    state.isHanging = failure == ConnectFailure::TimedOut;
    state.isProbed = false;
    state.nextProbeAt = now + std::min(m_options.firstProbeDelay * (1U << std::min(state.failures, MaxDoublings)), m_options.maxProbeDelay);
    ++state.failures;
}

/// Calls that are sent on idle connections would hang as well, before a connection to each endpoint has failed.
void EndpointContact::failAll(base::Time now)
{
    for (auto &[id, state] : m_endpoints) {
        if (!state.failedAt) {
            fail(state, ConnectFailure::TimedOut, now);
        }
    }
}

std::vector<base::EndpointId> EndpointContact::dueProbes(base::Time now)
{
    const bool wasPaused = now > m_lastTick + m_options.maxTickGap;
    m_lastTick = now;
    if (wasPaused) {
        m_heardAt = now;
    }
    std::vector<std::pair<base::Time, base::EndpointId>> due;
    for (const auto &[id, state] : m_endpoints) {
        if (state.failedAt && !state.isProbed && state.nextProbeAt <= now) {
            due.emplace_back(state.nextProbeAt, id);
        }
    }
    std::ranges::sort(due);
    due.resize(std::min(due.size(), m_options.maxProbes));
    std::vector<base::EndpointId> probes;
    for (const auto &[at, id] : due) {
        m_endpoints.at(id).isProbed = true;
        probes.push_back(id);
    }
    probeSilent(now, probes);
    return probes;
}

/// If nothing has come from any endpoint although calls wait, either all of them work on long calls or the contact is lost.
void EndpointContact::probeSilent(base::Time now, std::vector<base::EndpointId> &probes)
{
    if (now < m_heardAt + m_options.silenceTime) {
        return;
    }
    const auto waits = [&](const State &state) {
        return state.waitsSince && now >= *state.waitsSince + m_options.silenceTime;
    };
    if (std::ranges::none_of(m_endpoints, [&](const auto &it) { return waits(it.second); })) {
        return;
    }
    std::size_t probed = 0;
    for (const bool isWaiting : {true, false}) {
        for (auto &[id, state] : m_endpoints) {
            if (probed < m_options.failuresOfAll && !state.failedAt && !state.isProbed && waits(state) == isWaiting) {
                state.isProbed = true;
                probes.push_back(id);
                ++probed;
            }
        }
    }
}

void EndpointContact::noteConnectionLost(const base::EndpointId &id, base::Time now)
{
    std::erase_if(m_losses, [&](const auto &it) { return it.first + m_options.lossMemory < now; });
    m_losses.emplace_back(now, id);
}

bool EndpointContact::isContactLoss(base::Time at, const std::set<base::EndpointId> &connected) const
{
    constexpr std::size_t MinLosses = 3; ///< two endpoints may crash at the same moment
    constexpr std::size_t LossesPerConnected = 4;
    std::set<base::EndpointId> lost;
    for (const auto &[lostAt, id] : m_losses) {
        if (lostAt + m_options.sameMoment >= at && lostAt <= at + m_options.sameMoment) {
            lost.insert(id);
        }
    }
    const auto others = static_cast<std::size_t>(std::ranges::count_if(connected, [&](const auto &it) { return !lost.contains(it); }));
    return lost.size() >= MinLosses && lost.size() >= others * LossesPerConnected;
}

bool EndpointContact::isUnreachable(const base::EndpointId &id) const
{
    const auto it = m_endpoints.find(id);
    return it != m_endpoints.end() && it->second.failedAt;
}

std::optional<base::Time> EndpointContact::hangsSince(const base::EndpointId &id) const
{
    const auto it = m_endpoints.find(id);
    return it != m_endpoints.end() && it->second.isHanging ? it->second.failedAt : std::nullopt;
}

bool EndpointContact::isCutOff() const
{
    return !m_endpoints.empty() && unreachableCount() == m_endpoints.size();
}

std::size_t EndpointContact::unreachableCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_endpoints, [](const auto &it) { return it.second.failedAt.has_value(); }));
}

} // namespace turmericplank::forwarding
