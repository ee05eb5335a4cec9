#include "limitedroom.hpp"

namespace turmericplank::standins::siteendpoint {

LimitedRoom::LimitedRoom(const LimitedRoomOptions &options)
    : m_options(options)
{
}

Admission LimitedRoom::admit(base::Time now)
{
    if (now < m_downUntil) {
        return Admission::Down;
    }
    if (m_running < m_options.slots) {
        ++m_running;
        return Admission::Run;
    }
    if (now < m_options.limitedFrom || m_waiting < m_options.maxWaiting) {
        ++m_waiting;
        return Admission::Wait;
    }
    ++rejected;
    m_rejections.push_back(now);
    while (m_rejections.front() + std::chrono::seconds(1) <= now) {
        m_rejections.pop_front();
    }
    if (m_rejections.size() <= m_options.tolerance) {
        return Admission::Reject;
    }
    ++failures;
    m_running = 0;
    m_waiting = 0;
    m_rejections.clear();
    m_downUntil = now + m_options.downTime;
    return Admission::Fail;
}

bool LimitedRoom::finish()
{
    if (m_waiting > 0) {
        --m_waiting;
        return true;
    }
    --m_running;
    return false;
}

} // namespace turmericplank::standins::siteendpoint
