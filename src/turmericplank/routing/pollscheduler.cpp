#include "turmericplank/routing/pollscheduler.hpp"

#include <algorithm>
#include <string>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::routing {

std::uint32_t contentHashOf(const LoadReport &report)
{
    std::string buf = std::to_string(report.incarnation.value()) + '\n' + report.role + (report.isLeaving ? "\nleaving" : "\nstaying");
    for (const auto &it : report.resident) {
        buf += "\nm" + it.model.text() + '\t' + it.version;
    }
    for (const auto &it : report.adapters) {
        buf += "\na" + it.text();
    }
    return static_cast<std::uint32_t>(base::fingerprint(buf));
}

PollScheduler::PollScheduler(PollSchedulerOptions options)
    : m_options(options)
{
}

void PollScheduler::setEndpoints(const std::map<base::EndpointId, bool> &endpoints)
{
    std::erase_if(m_endpoints, [&](const auto &it) { return !endpoints.contains(it.first); });
    for (const auto &[id, isReplaced] : endpoints) {
        if (isReplaced) {
            m_endpoints.erase(id);
        }
        m_endpoints.try_emplace(id);
    }
}

bool PollScheduler::isDue(const PollState &state, PollDuty duty, base::Time now) const
{
    if (state.isPolling || now < state.nextLoadAt) {
        return false;
    }
    if (state.isPollRequested || !state.report) {
        return true;
    }
    switch (duty) {
    case PollDuty::Primary:
        return now >= state.polledAt + m_options.primaryInterval;
    case PollDuty::Backup:
        return now >= state.heardAt + m_options.backupAfter;
    case PollDuty::Other:
        return now >= state.heardAt + m_options.otherAfter;
    }
    return false;
}

std::vector<base::EndpointId> PollScheduler::takeDueLoads(base::Time now, const std::function<PollDuty(const base::EndpointId &)> &duty)
{
    std::vector<base::EndpointId> due;
    for (auto &[id, it] : m_endpoints) {
        if (isDue(it, duty(id), now)) {
            it.isPolling = true;
            it.isPollRequested = false;
            due.push_back(id);
        }
    }
    return due;
}

std::vector<base::EndpointId> PollScheduler::takeDueEvents(base::Time now)
{
    std::vector<base::EndpointId> due;
    for (auto &[id, it] : m_endpoints) {
        if (now >= it.nextEventsAt) {
            it.nextEventsAt = now + m_options.eventInterval;
            due.push_back(id);
        }
    }
    return due;
}

void PollScheduler::noteReport(const base::EndpointId &endpoint, const LoadReport &report, base::Time now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &it = found->second;
    it.isPolling = false;
    it.report = report;
    it.contentHash = contentHashOf(report);
    it.polledAt = now;
    it.heardAt = now;
}

void PollScheduler::noteFailure(const base::EndpointId &endpoint, base::Time now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &it = found->second;
    it.isPolling = false;
    it.isPollRequested = true;
    it.nextLoadAt = now + m_options.primaryInterval;
}

void PollScheduler::noteEvents(const base::EndpointId &endpoint, std::size_t bytes, base::Time now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    const auto seconds = std::chrono::duration<double>(static_cast<double>(bytes) / m_options.eventBytesPerSecond);
    found->second.nextEventsAt = now + std::max(m_options.eventInterval, std::chrono::duration_cast<base::Duration>(seconds));
}

std::optional<LoadReport> PollScheduler::noteDigest(const ReportDigest &digest, base::Time now)
{
    const auto found = m_endpoints.find(digest.endpoint);
    if (found == m_endpoints.end()) {
        return std::nullopt;
    }
    auto &it = found->second;
    if (!it.report || it.contentHash != digest.contentHash) {
        it.isPollRequested = true;
        return std::nullopt;
    }
    const auto takenAt = now - digest.age;
    if (takenAt <= it.report->takenAt) {
        return std::nullopt;
    }
    it.heardAt = now;
    it.report->takenAt = takenAt;
    it.report->running = digest.running;
    it.report->waiting = digest.waiting;
    return it.report;
}

void PollScheduler::pollSoon(const base::EndpointId &endpoint, base::Time now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end() && now >= found->second.polledAt + m_options.primaryInterval) {
        found->second.isPollRequested = true;
    }
}

std::vector<ReportDigest> PollScheduler::ownDigests(base::Time now) const
{
    std::vector<ReportDigest> digests;
    for (const auto &[id, it] : m_endpoints) {
        if (it.report && now - it.polledAt <= m_options.digestLifetime) {
            const auto age = std::max(now - it.report->takenAt, base::Duration(0));
            digests.push_back({id, age, it.report->running, it.report->waiting, it.contentHash});
        }
    }
    return digests;
}

} // namespace turmericplank::routing
