#include "turmericplank/membership/drain.hpp"

#include <algorithm>

namespace turmericplank::membership {

Drain::Drain(base::Time beganAt, base::Time ownUseUntil, base::Time unheardUntil)
    : m_beganAt(beganAt)
    , m_ownUseUntil(ownUseUntil)
    , m_unheardUntil(unheardUntil)
{
}

void Drain::expect(const base::DaemonId &daemon)
{
    m_reports.try_emplace(daemon);
}

void Drain::noteHeartbeat(const base::DaemonId &daemon, base::Time useUntil, bool knowsOfDrain)
{
    auto &report = m_reports[daemon];
    report.useUntil = std::max(report.useUntil, useUntil);
    report.isFinal = report.isFinal || knowsOfDrain;
}

base::Time Drain::rejectFrom() const
{
    auto from = std::max(m_beganAt, m_ownUseUntil);
    for (const auto &[daemon, report] : m_reports) {
        from = std::max(from, report.isFinal ? report.useUntil : m_unheardUntil);
    }
    return from;
}

base::Time Drain::beganAt() const
{
    return m_beganAt;
}

} // namespace turmericplank::membership
