#include "platform/vmlist.hpp"

namespace turmericplank::standins::platform {

VmList::VmList(std::string initialList)
    : m_visible(std::move(initialList))
{
}

void VmList::replace(std::string list, base::Time visibleFrom)
{
    m_changes.push_back({visibleFrom, std::move(list)});
}

const std::string &VmList::visible(base::Time now)
{
    while (!m_changes.empty() && m_changes.front().visibleFrom <= now) {
        m_visible = std::move(m_changes.front().list);
        m_changes.pop_front();
    }
    return m_visible;
}

} // namespace turmericplank::standins::platform
