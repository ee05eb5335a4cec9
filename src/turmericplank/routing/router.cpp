#include "turmericplank/routing/router.hpp"

#include <algorithm>
#include <iterator>

namespace turmericplank::routing {

namespace {

constexpr std::size_t PrefixesKeptPerAttempt = 32;

void eraseValue(std::vector<EndpointIndex> &values, EndpointIndex value)
{
    const auto it = std::ranges::find(values, value);
    if (it != values.end()) {
        *it = values.back();
        values.pop_back();
    }
}

std::uint32_t rounded(double value)
{
    return value > 0 ? static_cast<std::uint32_t>(value + 0.5) : 0;
}

} // namespace

Router::Router(RouterOptions options)
    : m_options(std::move(options))
    , m_prefixes(m_options.prefixes)
{
}

Router::EndpointState *Router::find(const base::EndpointId &id)
{
    const auto it = m_indexes.find(id);
    return it == m_indexes.end() ? nullptr : &m_endpoints[it->second];
}

void Router::setEndpoints(const std::vector<RoutableEndpoint> &endpoints)
{
    for (auto &it : m_endpoints) {
        it.isConfigured = false;
    }
    for (const auto &it : endpoints) {
        const auto [position, isNew] = m_indexes.try_emplace(it.id, static_cast<EndpointIndex>(m_endpoints.size()));
        if (isNew) {
            m_endpoints.emplace_back();
        }
        auto &state = m_endpoints[position->second];
        state.endpoint = it;
        state.isConfigured = true;
        state.distanceMilliseconds = base::inMilliseconds(m_options.zoneDistance(it.zone));
    }
    updateAllowance();
}

void Router::setModels(const std::vector<base::ModelName> &models, const std::map<base::AdapterName, base::ModelName> &adapters)
{
    m_residents.clear();
    m_adapters.clear();
    for (const auto &it : models) {
        m_residents[it];
    }
    for (const auto &[adapter, model] : adapters) {
        m_adapters[base::ModelName(adapter.text())] = {model, adapter};
    }
    for (EndpointIndex index = 0; index < m_endpoints.size(); ++index) {
        for (const auto &model : m_endpoints[index].models) {
            m_residents[model].push_back(index);
        }
    }
}

void Router::dropResident(EndpointIndex index, const base::ModelName &model)
{
    std::erase(m_endpoints[index].models, model);
    const auto it = m_residents.find(model);
    if (it != m_residents.end()) {
        eraseValue(it->second, index);
    }
}

void Router::setResidents(EndpointIndex index, const LoadReport &report)
{
    auto &state = m_endpoints[index];
    std::vector<base::ModelName> models;
    for (const auto &it : report.resident) {
        if (std::ranges::find(models, it.model) == models.end()) {
            models.push_back(it.model);
        }
    }
    state.adapters = report.adapters;
    if (models == state.models) {
        return;
    }
    for (const auto &it : state.models) {
        eraseValue(m_residents[it], index);
    }
    state.models = std::move(models);
    for (const auto &it : state.models) {
        m_residents[it].push_back(index);
    }
}

void Router::noteReport(const base::EndpointId &endpoint, const LoadReport &report, base::Time now)
{
    const auto position = m_indexes.find(endpoint);
    if (position == m_indexes.end()) {
        return;
    }
    auto &state = m_endpoints[position->second];
    const bool isOlder = report.incarnation < state.incarnation || (report.incarnation == state.incarnation && report.takenAt < state.reportTakenAt);
    if (isOlder) {
        return;
    }
    if (report.incarnation > state.incarnation) {
        m_prefixes.forget(position->second, now);
        state.health = EndpointHealth();
        state.pausedUntil = base::Time();
        m_rateAllowance.forget(state.endpoint.id, now);
        state.incarnation = report.incarnation;
    }
    state.reportTakenAt = report.takenAt;
    state.isLeavingByReport = report.isLeaving;
    state.load.noteReport(report, m_options.speed.averagePromptTokens);
    setResidents(position->second, report);
}

void Router::setStatus(const base::EndpointId &endpoint, EndpointStatus status, base::Time now)
{
    const auto position = m_indexes.find(endpoint);
    if (position == m_indexes.end()) {
        return;
    }
    m_endpoints[position->second].status = status;
    if (status == EndpointStatus::Gone) {
        m_prefixes.forget(position->second, now);
    }
}

void Router::noteCacheEvents(const base::EndpointId &endpoint, const std::vector<CacheEvent> &events, base::Time now)
{
    const auto position = m_indexes.find(endpoint);
    if (position == m_indexes.end()) {
        return;
    }
    for (const auto &it : events) {
        m_prefixes.apply(position->second, it, now);
    }
}

void Router::notePeerWork(const base::DaemonId &from, const std::vector<EndpointWork> &work, base::Time now)
{
    auto &peer = m_peers[from];
    peer.heardAt = now;
    for (const auto &it : work) {
        const auto position = m_indexes.find(it.endpoint);
        if (position != m_indexes.end()) {
            m_endpoints[position->second].load.notePeer(from, it);
            peer.endpoints.insert(position->second);
        }
    }
}

void Router::setUnreportedWorkFactor(double factor)
{
    m_unreportedWorkFactor = factor;
}

void Router::forgetPeer(const base::DaemonId &from)
{
    const auto it = m_peers.find(from);
    if (it == m_peers.end()) {
        return;
    }
    for (const auto index : it->second.endpoints) {
        m_endpoints[index].load.forgetPeer(from);
    }
    m_peers.erase(it);
}

std::vector<EndpointWork> Router::ownWork() const
{
    std::vector<EndpointWork> all;
    for (const auto &it : m_endpoints) {
        const auto own = workOf(it);
        if (it.isConfigured && own.streams > 0) {
            all.push_back(own);
        }
    }
    return all;
}

EndpointWork Router::workOf(const EndpointState &state)
{
    const auto own = state.load.ownWork();
    return {state.endpoint.id,         rounded(own.streams),      rounded(own.urgentWaiting),
            rounded(own.otherWaiting), rounded(own.urgentTokens), rounded(own.otherTokens)};
}

void Router::setRejectionLimits(const std::map<base::ServiceName, std::uint32_t> &limits, const base::DaemonId &self, const std::vector<base::DaemonId> &others,
                                base::Time now)
{
    for (const auto &[service, limit] : m_rejectionLimits) {
        if (!limits.contains(service)) {
            m_allowance.removeService(service);
        }
    }
    m_rejectionLimits = limits;
    m_allowance.setDaemons(self, others, now);
    updateAllowance();
}

void Router::updateAllowance()
{
    for (const auto &[service, limit] : m_rejectionLimits) {
        std::vector<LimitedEndpoint> endpoints;
        for (const auto &it : m_endpoints) {
            if (it.isConfigured && it.endpoint.service == service) {
                endpoints.push_back({it.endpoint.id, it.endpoint.concurrency});
            }
        }
        m_allowance.setEndpoints(service, std::move(endpoints), limit);
    }
}

RateAllowance &Router::rateAllowance()
{
    return m_rateAllowance;
}

bool Router::maySend(const EndpointState &state, const RouteRequest &request, base::Time now)
{
    if (!m_rateAllowance.maySend(state.endpoint.id, request.isNew, now)) {
        return false;
    }
    return !m_allowance.isLimited(state.endpoint.id) || m_allowance.maySend(state.endpoint.id, workOf(state), state.load.peers(), request.isRetry, now);
}

bool Router::isPeerWorkComplete(base::Time now) const
{
    const auto isFresh = [&](const auto &it) {
        return now < it.second.heardAt + m_options.peerWorkLifetime;
    };
    return !m_peers.empty() && std::ranges::all_of(m_peers, isFresh);
}

void Router::notePause(const base::EndpointId &endpoint, base::Time until)
{
    if (auto *state = find(endpoint)) {
        state->pausedUntil = std::max(state->pausedUntil, until);
    }
}

void Router::noteSent(const Choice &choice, const RouteRequest &request, base::Time now)
{
    const auto position = m_indexes.find(choice.endpoint);
    if (position == m_indexes.end()) {
        return;
    }
    auto &state = m_endpoints[position->second];
    m_rateAllowance.noteSent(choice.endpoint, request.isNew, now);
    const auto expiresAt = now + m_options.attemptLifetime;
    const auto prompt = request.promptTokens - std::min(request.promptTokens, choice.cachedTokens);
    state.load.noteSent(choice.ticket, {request.priority, prompt, now, expiresAt, false});
    if (state.health.healthState(now) == HealthState::ProbeOnly) {
        state.health.noteProbe(now, m_options.health);
    }
    Attempt attempt{position->second, now, expiresAt, base::inMilliseconds(choice.expectedFirstToken), {}, request.model, false};
    for (const auto &it : request.prefixes) {
        if (attempt.prefixes.size() < PrefixesKeptPerAttempt) {
            attempt.prefixes.push_back(it.fingerprint);
        }
        m_prefixes.noteUse(position->second, it.fingerprint, now);
    }
    m_attempts.emplace(choice.ticket, std::move(attempt));
}

void Router::noteFirstToken(Ticket ticket, base::Time now)
{
    const auto it = m_attempts.find(ticket);
    if (it == m_attempts.end() || it->second.hasFirstToken) {
        return;
    }
    it->second.hasFirstToken = true;
    auto &state = m_endpoints[it->second.endpoint];
    state.load.noteFirstToken(ticket);
    constexpr double MinExpectedMilliseconds = 20; ///< the ratio is too noisy below this
    const double expected = std::max(it->second.expectedMilliseconds, MinExpectedMilliseconds);
    state.health.noteFirstToken(base::inMilliseconds(now - it->second.sentAt) / expected, now, m_options.health);
}

void Router::noteEnded(Ticket ticket, AttemptOutcome end, base::Time now)
{
    const auto it = m_attempts.find(ticket);
    if (it == m_attempts.end()) {
        return;
    }
    const auto index = it->second.endpoint;
    auto &state = m_endpoints[index];
    state.load.noteEnded(ticket, now);
    state.health.noteEnd(end, now, m_options.health);
    if (end == AttemptOutcome::Overloaded) {
        m_allowance.noteRejected(state.endpoint.id, workOf(state).streams, now);
    }
    if (end == AttemptOutcome::Leaving) {
        state.isLeavingByReport = true;
    }
    if (end == AttemptOutcome::NotResident) {
        if (const auto resolved = resolve(it->second.model)) {
            dropResident(index, resolved->model);
        }
    }
    m_attempts.erase(it);
}

void Router::expire(base::Time now)
{
    for (auto &it : m_endpoints) {
        it.load.expire(now);
    }
    std::erase_if(m_attempts, [now](const auto &it) { return it.second.expiresAt <= now; });
}

std::vector<EndpointIndex> Router::usableReplicas(const base::ModelName &model) const
{
    std::vector<EndpointIndex> usable;
    const auto resolved = resolve(model);
    const auto it = resolved ? m_residents.find(resolved->model) : m_residents.end();
    if (it == m_residents.end()) {
        return usable;
    }
    std::ranges::copy_if(it->second, std::back_inserter(usable), [this](EndpointIndex index) { return isUsable(m_endpoints[index]); });
    return usable;
}

std::size_t Router::replicas(const base::ModelName &model) const
{
    return usableReplicas(model).size();
}

std::uint32_t Router::streamCapacity(const base::ModelName &model) const
{
    std::uint32_t capacity = 0;
    for (const auto it : usableReplicas(model)) {
        capacity += m_endpoints[it].endpoint.concurrency;
    }
    return capacity;
}

std::optional<Router::ResolvedModel> Router::resolve(const base::ModelName &name) const
{
    const auto adapter = m_adapters.find(name);
    if (adapter != m_adapters.end()) {
        return adapter->second;
    }
    if (m_residents.contains(name)) {
        return ResolvedModel{name, {}};
    }
    return std::nullopt;
}

} // namespace turmericplank::routing
