#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::membership {

/// @brief One line of the platform's list of VMs.
struct ListedVm
{
    std::string id; ///< name of a daemon or endpoint
    bool isLeaving = false;

    friend auto operator<=>(const ListedVm &, const ListedVm &) = default;
    friend bool operator==(const ListedVm &, const ListedVm &) = default;
};

/// @brief What the platform's late list says of each machine, and which incarnation it can mean.
///
/// The list names machines without incarnations and is late, so a leaving mark that stood there before a machine was
/// replaced is about the predecessor until the list has shown the machine without it.
class PlatformList
{
public:
    /// @brief Takes a list as it was fetched.
    void update(const std::vector<ListedVm> &machines, base::Time now);

    /// @brief A machine was seen with a new incarnation.
    void noteReplaced(const std::string &id);

    /// @brief Whether the list says that the present incarnation leaves.
    bool isLeaving(const std::string &id) const;

    /// @brief Whether the list names a machine; nothing if no list has come yet.
    std::optional<bool> isListed(const std::string &id) const;

    /// @brief Whether a machine was listed and is no more: the platform has taken it away.
    bool isRemoved(const std::string &id) const;

    /// @brief When the list that is in use was fetched.
    base::Time fetchedAt() const;

private:
    enum class Mark {
        None,
        Leaving,
        LeavingPredecessor,
        Removed,
    };

    std::map<std::string, Mark> m_marks;
    std::optional<base::Time> m_fetchedAt;
};

} // namespace turmericplank::membership
