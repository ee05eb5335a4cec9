#pragma once

#include <cstddef>
#include <vector>

#include "turmericplank/base/identifier.hpp"

namespace turmericplank::gateway {

/// @brief A daemon that may keep copies of another one's state.
struct BackupCandidate
{
    base::DaemonId id;
    base::ZoneName zone;

    friend bool operator==(const BackupCandidate &, const BackupCandidate &) = default;
};

constexpr std::size_t MaxBackups = 2; ///< a daemon and one that keeps its copies may end at the same time

/// @brief Chooses the daemons that keep copies of a daemon's state; one of them is in another zone, if there is one.
///
/// Source: rendezvous hashing (Thaler and Ravishankar, 1998). A daemon that appears or goes changes only the choices that it is or was a part of, and
/// daemons that are replaced in the order of their ids are seldom each other's backups.
/// @param self the daemon whose state is copied
/// @param candidates the others
/// @return at most MaxBackups of them
std::vector<base::DaemonId> chooseBackups(const BackupCandidate &self, std::vector<BackupCandidate> candidates);

} // namespace turmericplank::gateway
