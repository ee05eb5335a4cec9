#pragma once

#include <deque>
#include <string>

#include "turmericplank/base/time.hpp"

namespace turmericplank::standins::platform {

/// @brief List of VMs whose changes become visible to readers with a delay.
class VmList
{
public:
    /// @param initialList list that readers see before the first change
    explicit VmList(std::string initialList);

    /// @brief Replaces the list.
    /// @param list the complete new list
    /// @param visibleFrom time from which readers see the new list
    void replace(std::string list, base::Time visibleFrom);

    /// @brief The list that readers see at this time.
    const std::string &visible(base::Time now);

private:
    struct Change
    {
        base::Time visibleFrom;
        std::string list;
    };

    std::string m_visible;
    std::deque<Change> m_changes;
};

} // namespace turmericplank::standins::platform
