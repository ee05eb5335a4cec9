#pragma once

#include <deque>
#include <string>

#include "turmericplank/base/time.hpp"

namespace turmericplank::standins::platform {

/// @brief The list of VMs, which readers see late.
class VmList
{
public:
    /// @param first what readers see before the first change
    explicit VmList(std::string initialList);

    /// @brief Changes the list.
    /// @param list the whole list
    /// @param visibleFrom when readers see it
    void replace(std::string list, base::Time visibleFrom);

    /// @brief The list as readers see it.
    /// @param now the present
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
