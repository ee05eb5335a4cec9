#include "turmericplank/membership/failuredetector.hpp"

#include <algorithm>

namespace turmericplank::membership {

FailureDetector::FailureDetector(DetectorOptions options)
    : m_options(options)
{
}

void FailureDetector::watch(const base::DaemonId &daemon, base::Time now)
{
    const auto name = shortName(daemon.text());
    if (m_daemons.try_emplace(daemon, Watched{name, base::Time(), base::Time(), now}).second) {
        m_byShortName.emplace(name, daemon);
    }
}

void FailureDetector::forget(const base::DaemonId &daemon)
{
    m_daemons.erase(daemon);
    m_byShortName.erase(shortName(daemon.text()));
}

void FailureDetector::noteHeartbeat(const Heartbeat &heartbeat, base::Time now)
{
    const auto sender = m_daemons.find(heartbeat.from);
    if (sender == m_daemons.end()) {
        return;
    }
    sender->second.heardDirectlyAt = now;
    sender->second.lastHeardAt = now;
    for (const auto &it : heartbeat.heard) {
        const auto name = m_byShortName.find(it.daemon);
        if (name == m_byShortName.end()) {
            continue;
        }
        auto &watched = m_daemons.at(name->second);
        watched.lastHeardAt = std::max(watched.lastHeardAt, now - std::chrono::milliseconds(it.milliseconds));
    }
}

void FailureDetector::tick(base::Time now)
{
    const bool wasPaused = m_lastTick && now - *m_lastTick > m_options.pauseAfter;
    m_lastTick = now;
    if (!wasPaused) {
        return;
    }
    for (auto &[daemon, watched] : m_daemons) {
        watched.silenceCountsFrom = now;
    }
}

base::Duration FailureDetector::silence(const base::DaemonId &daemon, base::Time now) const
{
    const auto it = m_daemons.find(daemon);
    return it == m_daemons.end() ? base::Duration::max() : now - std::max(it->second.lastHeardAt, it->second.silenceCountsFrom);
}

bool FailureDetector::wasHeard(const base::DaemonId &daemon) const
{
    const auto it = m_daemons.find(daemon);
    return it != m_daemons.end() && it->second.lastHeardAt != base::Time();
}

base::Duration FailureDetector::directSilence(const base::DaemonId &daemon, base::Time now) const
{
    const auto it = m_daemons.find(daemon);
    return it == m_daemons.end() ? base::Duration::max() : now - std::max(it->second.heardDirectlyAt, it->second.silenceCountsFrom);
}

bool FailureDetector::isIsolated(base::Time now) const
{
    const auto heard = std::ranges::count_if(m_daemons, [&](const auto &it) { return directSilence(it.first, now) <= m_options.suspectAfter; });
    // This daemon counts as one that it hears. Exactly half of the daemons is not a majority.
    return !m_daemons.empty() && static_cast<std::size_t>(heard + 1) * 2 <= m_daemons.size() + 1;
}

std::vector<HeardAge> FailureDetector::heardAges(base::Time now) const
{
    std::vector<HeardAge> ages;
    for (const auto &[daemon, watched] : m_daemons) {
        const auto age = now - watched.heardDirectlyAt;
        if (age <= m_options.goneAfter) {
            ages.push_back({watched.shortName, static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count() / 1000))});
        }
    }
    return ages;
}

const DetectorOptions &FailureDetector::options() const
{
    return m_options;
}

} // namespace turmericplank::membership
