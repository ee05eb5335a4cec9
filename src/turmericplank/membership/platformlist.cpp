#include "turmericplank/membership/platformlist.hpp"

namespace turmericplank::membership {

void PlatformList::update(const std::vector<ListedVm> &vms, base::Time now)
{
    std::map<std::string, Mark> marks;
    for (const auto &it : vms) {
        const auto before = m_marks.find(it.id);
        const bool isStale = before != m_marks.end() && before->second == Mark::LeavingPredecessor;
        const auto leaving = isStale ? Mark::LeavingPredecessor : Mark::Leaving;
        marks[it.id] = it.isLeaving ? leaving : Mark::None;
    }
    for (const auto &[id, mark] : m_marks) {
        marks.try_emplace(id, Mark::Removed);
    }
    m_marks = std::move(marks);
    m_fetchedAt = now;
}

void PlatformList::noteReplaced(const std::string &id)
{
    const auto it = m_marks.find(id);
    if (it != m_marks.end() && it->second == Mark::Leaving) {
        it->second = Mark::LeavingPredecessor;
    }
}

bool PlatformList::isLeaving(const std::string &id) const
{
    const auto it = m_marks.find(id);
    return it != m_marks.end() && it->second == Mark::Leaving;
}

std::optional<bool> PlatformList::isListed(const std::string &id) const
{
    if (!m_fetchedAt) {
        return std::nullopt;
    }
    const auto it = m_marks.find(id);
    return it != m_marks.end() && it->second != Mark::Removed;
}

bool PlatformList::isRemoved(const std::string &id) const
{
    const auto it = m_marks.find(id);
    return it != m_marks.end() && it->second == Mark::Removed;
}

base::Time PlatformList::fetchedAt() const
{
    return m_fetchedAt.value_or(base::Time());
}

} // namespace turmericplank::membership
