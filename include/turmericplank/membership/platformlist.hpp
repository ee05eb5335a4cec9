#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::membership {

/// @brief One entry of the platform's list of VMs.
struct ListedVm
{
    std::string id; ///< name of the daemon or endpoint on the VM
    bool isLeaving = false;

    friend auto operator<=>(const ListedVm &, const ListedVm &) = default;
    friend bool operator==(const ListedVm &, const ListedVm &) = default;
};

/// @brief The platform's delayed list of VMs, with the incarnation that each leaving mark refers to.
///
/// The list does not contain incarnations and is delayed. A leaving mark from before a VM was replaced therefore refers to
/// the previous incarnation until the list has shown the VM without the mark.
class PlatformList
{
public:
    /// @brief Applies a fetched list.
    void update(const std::vector<ListedVm> &vms, base::Time now);

    /// @brief Records that a VM was seen with a new incarnation.
    void noteReplaced(const std::string &id);

    /// @brief Whether the list marks the current incarnation of a VM as leaving.
    bool isLeaving(const std::string &id) const;

    /// @brief Whether the list contains a VM; nothing if no list has been fetched yet.
    std::optional<bool> isListed(const std::string &id) const;

    /// @brief Whether an earlier list contained a VM and the latest does not: the platform has removed it.
    bool isRemoved(const std::string &id) const;

    /// @brief When the current list was fetched; the epoch if there is none.
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
