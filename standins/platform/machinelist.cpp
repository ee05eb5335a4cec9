#include "platform/machinelist.hpp"

namespace turmericplank::standins::platform {

MachineList::MachineList(std::string first)
    : m_visible(std::move(first))
{
}

void MachineList::change(std::string list, base::Time visibleFrom)
{
    m_changes.push_back({visibleFrom, std::move(list)});
}

const std::string &MachineList::visible(base::Time now)
{
    while (!m_changes.empty() && m_changes.front().visibleFrom <= now) {
        m_visible = std::move(m_changes.front().list);
        m_changes.pop_front();
    }
    return m_visible;
}

} // namespace turmericplank::standins::platform
