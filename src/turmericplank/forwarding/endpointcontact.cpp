#include "turmericplank/forwarding/endpointcontact.hpp"

#include <algorithm>
#include <utility>

namespace turmericplank::forwarding {

using requests::LossCause;

EndpointContact::EndpointContact(EndpointContactOptions options)
    : m_options(options)
{
}

void EndpointContact::add(const base::EndpointId &id, const base::ServiceName &service)
{
    m_endpoints[id].service = service;
    m_heardAt.try_emplace(service);
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
    if (const auto it = m_endpoints.find(id); it != m_endpoints.end()) {
        m_heardAt[it->second.service] = now;
        it->second.heardAt = now;
        it->second.waitsSince.reset();
        it->second.isHanging = false;
    }
}

void EndpointContact::noteConnected(const base::EndpointId &id, base::Time now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    auto &state = it->second;
    m_heardAt[state.service] = now;
    State connected;
    connected.service = state.service;
    connected.heardAt = now;
    connected.waitsSince = state.waitsSince;
    state = connected;
    clearAssumed(state.service);
}

/// What was assumed of the other endpoints does not hold if one of the service can be reached.
void EndpointContact::clearAssumed(const base::ServiceName &service)
{
    for (auto &[id, state] : m_endpoints) {
        if (state.service == service && state.isAssumed) {
            state.failedAt.reset();
            state.isHanging = false;
            state.isAssumed = false;
            state.failures = 0;
        }
    }
}

void EndpointContact::noteConnectFailed(const base::EndpointId &id, ConnectFailure failure, base::Time now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    // Further probes of an endpoint that has failed are no new losses.
    if (!it->second.failedAt || it->second.isAssumed) {
        noteConnectionLost(id, now);
    }
    fail(it->second, failure, now);
    if (haveAllFailed(it->second.service, failure, now)) {
        failAll(it->second.service, failure, now);
    }
}

/// Whether enough endpoints of the service have failed since one was heard to conclude that none of them can be reached.
bool EndpointContact::haveAllFailed(const base::ServiceName &service, ConnectFailure failure, base::Time now) const
{
    const auto heardAt = m_heardAt.at(service);
    const bool isTimeout = failure == ConnectFailure::TimedOut;
    if (isTimeout && now < heardAt + m_options.silenceTime) {
        return false;
    }
    std::size_t known = 0;
    std::size_t failed = 0;
    for (const auto &[id, state] : m_endpoints) {
        const bool isFailed = state.failedAt && !state.isAssumed && (isTimeout ? state.isHanging : *state.failedAt > heardAt);
        known += state.service == service ? 1 : 0;
        failed += state.service == service && isFailed ? 1 : 0;
    }
    return failed >= std::min(isTimeout ? m_options.failuresOfAll : m_options.rejectionsOfAll, known);
}

void EndpointContact::fail(State &state, ConnectFailure failure, base::Time now) const
{
    constexpr unsigned MaxDoublings = 8;
    state.failedAt = state.failedAt.value_or(now);
    state.isHanging = failure == ConnectFailure::TimedOut;
    state.isAssumed = false;
    state.isProbed = false;
    state.nextProbeAt = now + std::min(m_options.firstProbeDelay * (1U << std::min(state.failures, MaxDoublings)), m_options.maxProbeDelay);
    ++state.failures;
}

/// Calls to the other endpoints would fail one after the other, and after a timeout hang on idle connections, before a connection to each has failed.
void EndpointContact::failAll(const base::ServiceName &service, ConnectFailure failure, base::Time now)
{
    for (auto &[id, state] : m_endpoints) {
        if (state.service == service && !state.failedAt) {
            fail(state, failure, now);
            state.isAssumed = true;
        }
    }
}

std::vector<base::EndpointId> EndpointContact::dueProbes(base::Time now)
{
    const bool wasPaused = now > m_lastTick + m_options.maxTickGap;
    m_lastTick = now;
    if (wasPaused) {
        for (auto &[service, heardAt] : m_heardAt) {
            heardAt = now;
        }
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
    probeDoubted(probes);
    for (const auto &[service, heardAt] : m_heardAt) {
        probeSilent(service, now, probes);
    }
    return probes;
}

/// If nothing has come from any endpoint of a service although calls wait, either all of them work on long calls or the contact is lost.
void EndpointContact::probeSilent(const base::ServiceName &service, base::Time now, std::vector<base::EndpointId> &probes)
{
    if (now < m_heardAt.at(service) + m_options.silenceTime) {
        return;
    }
    const auto waits = [&](const State &state) {
        return state.waitsSince && now >= *state.waitsSince + m_options.silenceTime;
    };
    if (std::ranges::none_of(m_endpoints, [&](const auto &it) { return it.second.service == service && waits(it.second); })) {
        return;
    }
    std::size_t probed = 0;
    for (const bool isWaiting : {true, false}) {
        for (auto &[id, state] : m_endpoints) {
            const bool isCandidate = state.service == service && !state.failedAt && !state.isProbed && waits(state) == isWaiting;
            if (probed < m_options.failuresOfAll && isCandidate) {
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
    if (const auto it = m_endpoints.find(id); it != m_endpoints.end()) {
        it->second.heardAt = base::Time(); // what was read lately may have been sent before the loss
    }
}

LossCause EndpointContact::lossCause(const base::EndpointId &id, base::Time at) const
{
    constexpr std::size_t MinLosses = 3; ///< two endpoints may crash at the same moment
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return LossCause::Endpoint;
    }
    const auto &service = it->second.service;
    std::set<base::EndpointId> lost;
    for (const auto &[lostAt, other] : m_losses) {
        const auto state = m_endpoints.find(other);
        const bool isOfService = state != m_endpoints.end() && state->second.service == service;
        if (isOfService && lostAt + m_options.sameMoment >= at && lostAt <= at + m_options.sameMoment) {
            lost.insert(other);
        }
    }
    if (isCutOff(service) || lost.size() >= MinLosses) {
        return LossCause::Contact;
    }
    const bool isOtherHeard =
        std::ranges::any_of(m_endpoints, [&](const auto &other) { return other.first != id && other.second.service == service && other.second.heardAt > at; });
    return isOtherHeard ? LossCause::Endpoint : LossCause::Undecided;
}

void EndpointContact::noteDoubt(const base::EndpointId &id)
{
    if (const auto it = m_endpoints.find(id); it != m_endpoints.end()) {
        m_doubted.insert_or_assign(it->second.service, id);
    }
}

void EndpointContact::probeDoubted(std::vector<base::EndpointId> &probes)
{
    for (const auto &[service, doubted] : std::exchange(m_doubted, {})) {
        std::size_t probed = 0;
        for (auto &[id, state] : m_endpoints) {
            if (probed < m_options.failuresOfAll && state.service == service && id != doubted && !state.failedAt) {
                ++probed;
                if (!std::exchange(state.isProbed, true)) {
                    probes.push_back(id);
                }
            }
        }
    }
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

bool EndpointContact::isCutOff(const base::ServiceName &service) const
{
    std::size_t known = 0;
    for (const auto &[id, state] : m_endpoints) {
        if (state.service == service && !state.failedAt) {
            return false;
        }
        known += state.service == service ? 1 : 0;
    }
    return known > 0;
}

std::set<base::ServiceName> EndpointContact::cutOffServices() const
{
    std::set<base::ServiceName> found;
    for (const auto &[id, state] : m_endpoints) {
        found.insert(state.service);
    }
    for (const auto &[id, state] : m_endpoints) {
        if (!state.failedAt) {
            found.erase(state.service);
        }
    }
    return found;
}

std::size_t EndpointContact::unreachableCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_endpoints, [](const auto &it) { return it.second.failedAt.has_value(); }));
}

std::size_t EndpointContact::endpointCount(const base::ServiceName &service) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_endpoints, [&](const auto &it) { return it.second.service == service; }));
}

std::size_t EndpointContact::unreachableCount(const base::ServiceName &service) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_endpoints, [&](const auto &it) { return it.second.service == service && it.second.failedAt.has_value(); }));
}

} // namespace turmericplank::forwarding
